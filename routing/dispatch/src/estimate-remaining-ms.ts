import type { Route } from "@marigoldstall/core.types";
import type { AttemptState } from "./attempt-state.js";
import type { DispatchService } from "./dispatch-service.js";
import { estimateDurationMs } from "./estimate-duration-ms.js";
import { selectWorkMs } from "./select-work-ms.js";
import type { ServerState } from "./server-state.js";

const PERCENT = 100;
// Least part of the work that is taken to be left, as an attempt without a response is never done.
const LEAST_SHARE = 0.1;

/** How much longer an attempt is expected to take. */
export const estimateRemainingMs = (service: DispatchService, opts: {
    readonly server: ServerState | undefined;
    readonly attempt: AttemptState;
    readonly route: Route;
    readonly atMs: number;
}): number => {
    const { server, attempt, atMs } = opts;
    const workMs = selectWorkMs(service, opts.route);
    const reported = server?.load?.slownessPercent;
    const slowness = reported === undefined ? service.slowness : reported / PERCENT;
    const doneMs = attempt.doneMs + (atMs - attempt.doneAtMs) / slowness;
    return estimateDurationMs(Math.max(workMs - doneMs, workMs * LEAST_SHARE), {
        slowness,
        averageSlowness: service.slowness,
        ageMs: atMs - (server?.measuredAtMs ?? -Infinity),
    });
};
