import type { LoadReport } from "@marigoldstall/core.types";
import { editServer } from "./edit-server.js";
import type { Mutable } from "./mutable.js";
import type { ServiceState } from "./service-state.js";

const MEAN_WEIGHT = 0.1;

/** Takes a load report into what is known of a backend server. */
export const noteLoad = (
    service: Mutable<ServiceState>,
    address: string,
    opts: {
        readonly atMs: number;
        readonly load: LoadReport;
        /** Own requests there that the report may count, other than the one that it answers. */
        readonly ownInFlight: number;
        /** A refusal answers a request that is not in the backend server's counts. */
        readonly source: "response" | "refusal" | "probe";
    },
): void => {
    const server = editServer(service, address);
    if (server === undefined) {
        return;
    }
    const { load } = opts;
    // Backend servers differ in whether `in-flight` counts queued requests: above the slots it must.
    const total = load.inFlight > load.slots ? load.inFlight : load.inFlight + load.queued;
    if (opts.source === "response" && total === 0) {
        service.reportsCountAnswered = false;
    }
    const answered = opts.source === "response" && service.reportsCountAnswered ? 1 : 0;
    const others = Math.max(0, total - answered - opts.ownInFlight);
    server.meanOthers = server.reportedAtMs === undefined
        ? others
        : server.meanOthers + (others - server.meanOthers) * MEAN_WEIGHT;
    server.slots = load.slots > 0 ? load.slots : server.slots;
    server.reportedOthers = others;
    server.reportedAtMs = opts.atMs;
    server.informedAtMs = opts.atMs;
};
