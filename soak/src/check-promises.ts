import type { Outcome } from "@marigoldstall-private/platform";
import type { VmDisturbance } from "./vm-disturbance.js";

interface SoakRecord {
    readonly outcomes: readonly Outcome[];
    /** Times at which backend servers began to work on each request. */
    readonly runs: ReadonlyMap<string, readonly number[]>;
    /** Requests that a server began after it had been draining for longer than the bound. */
    readonly lateRuns: readonly string[];
    /** Requests cut by a VM's planned stop, though it had read them. */
    readonly cutByStop: readonly string[];
    readonly disturbances: readonly VmDisturbance[];
}

const STATUSES_NOT_RUN: readonly number[] = [408, 421, 429, 503];
const STATUS_OK = 200;
// A request that does not answer within the deadline, the answer's way and a loaded machine's delay was held too long.
const MAX_DURATION_MS = 2_300;

/** The promises that were broken, one line each. */
export const checkPromises = (record: SoakRecord): readonly string[] => {
    const { outcomes, runs } = record;
    const broken: string[] = [];
    for (const outcome of outcomes) {
        const { requestId, statusCode, isIdempotent } = outcome;
        const runCount = runs.get(requestId)?.length ?? 0;
        if (!isIdempotent && runCount > 1) {
            broken.push(`${requestId} must run once at most and ran ${runCount} times`);
        }
        if (!isIdempotent && statusCode !== undefined && STATUSES_NOT_RUN.includes(statusCode) && runCount > 0) {
            broken.push(`${requestId} was said not to have run and did`);
        }
        if (statusCode === STATUS_OK && outcome.body !== `answer to ${requestId}`) {
            broken.push(`${requestId} got the answer "${outcome.body}"`);
        }
        if (statusCode === STATUS_OK && runCount === 0) {
            broken.push(`${requestId} was answered and never ran`);
        }
        if (statusCode !== undefined && statusCode >= 400 && statusCode < 500 && statusCode !== 429) {
            broken.push(`${requestId} is proper and got ${statusCode}`);
        }
        // A paused process answers nothing (seed 8948260: no line of its log between the request and 2.5 s later).
        const wasPaused = record.disturbances.some(({ vmId, kind, startedAtMs, endedAtMs }) =>
            vmId === outcome.vmId && kind === "pause" && startedAtMs <= outcome.endedAtMs
            && endedAtMs >= outcome.sentAtMs
        );
        if (statusCode !== undefined && !wasPaused && outcome.endedAtMs - outcome.sentAtMs > MAX_DURATION_MS) {
            broken.push(`${requestId} was held for ${Math.round(outcome.endedAtMs - outcome.sentAtMs)} ms`);
        }
    }
    for (const requestId of record.lateRuns) {
        broken.push(`${requestId} reached a server that had been draining for longer than the bound`);
    }
    for (const requestId of record.cutByStop) {
        broken.push(`${requestId} was cut by a planned stop`);
    }
    return broken;
};
