import type { LoadReport } from "@marigoldstall/core.types";
import { editServer } from "./edit-server.js";
import type { Mutable } from "./mutable.js";
import type { ServiceState } from "./service-state.js";

const EWMA_WEIGHT = 0.1;

/** Updates a backend server from a load report. */
export const recordLoadReport = (
    service: Mutable<ServiceState>,
    address: string,
    opts: {
        readonly atMs: number;
        readonly load: LoadReport;
        /** This daemon's requests that the report may count, other than the one that it answers. */
        readonly ownInFlight: number;
        /** The counts of the backend server do not include the request that a refusal answers. */
        readonly source: "response" | "refusal" | "probe";
    },
): void => {
    const server = editServer(service, address);
    if (server === undefined) {
        return;
    }
    const { load } = opts;
    // Backend servers differ in whether `in-flight` includes queued requests; above the slots it must.
    const total = load.inFlight > load.slots ? load.inFlight : load.inFlight + load.queued;
    if (opts.source === "response" && total === 0) {
        service.reportsCountAnsweredRequest = false;
    }
    const answered = opts.source === "response" && service.reportsCountAnsweredRequest ? 1 : 0;
    const others = Math.max(0, total - answered - opts.ownInFlight);
    server.meanOthersLoad = server.reportedAtMs === undefined
        ? others
        : server.meanOthersLoad + (others - server.meanOthersLoad) * EWMA_WEIGHT;
    server.slots = load.slots > 0 ? load.slots : server.slots;
    server.reportedOthersLoad = others;
    server.reportedAtMs = opts.atMs;
    server.lastObservedAtMs = opts.atMs;
};
