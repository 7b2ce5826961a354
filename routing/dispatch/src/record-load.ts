import type { LoadReport, WarmUp } from "@marigoldstall/core.types";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { recordWarmUp } from "./record-warm-up.js";
import { updateSlowChances } from "./update-slow-chances.js";

const PERCENT = 100;

/** Stores a load report, and what the server stated about its warm-up, unless something newer is known. */
export const recordLoad = (
    draft: DispatchDraft,
    instanceId: string,
    report: {
        readonly load: LoadReport;
        readonly measuredAtMs: number;
        /** What another VM tells of the warm-up. */
        readonly warmUp?: WarmUp | undefined;
    },
): void => {
    const { coldForMs } = report.load;
    const warmUp = coldForMs === undefined
        ? report.warmUp
        : { coldUntilMs: report.measuredAtMs + coldForMs, statedAtMs: report.measuredAtMs };
    if (warmUp !== undefined) {
        recordWarmUp(draft, instanceId, warmUp);
    }
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
