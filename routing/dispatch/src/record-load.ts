import type { LoadReport } from "@marigoldstall/core.types";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { updateSlowChances } from "./update-slow-chances.js";

const PERCENT = 100;

/** Stores a load report unless a newer one is known. */
export const recordLoad = (
    draft: DispatchDraft,
    instanceId: string,
    report: { readonly load: LoadReport; readonly measuredAtMs: number; },
): void => {
    const server = draft.server(instanceId);
    if (server === undefined || server.measuredAtMs >= report.measuredAtMs) {
        return;
    }
    updateSlowChances(draft, server, report);
    const { load, measuredAtMs } = report;
    draft.updateServer(instanceId, {
        load,
        measuredAtMs,
        unreportedSends: server.unreportedSends.filter(({ sentAtMs }) =>
            sentAtMs > measuredAtMs - DISPATCH_LIMITS.sendTransitMs
        ),
    });
    // A VM that asks a hub for loads learns those of selected servers only, and gets the average with the answer.
    if (load.slownessPercent !== undefined && draft.state.loadQueryIntervalMs === undefined) {
        const service = draft.service(server.server.service);
        const weight = DISPATCH_LIMITS.slownessWeight;
        draft.setService({
            ...service,
            slowness: service.slowness * (1 - weight) + load.slownessPercent / PERCENT * weight,
        });
    }
};
