import type { Outcome } from "@marigoldstall-private/platform";
import type { VmFault } from "./vm-fault.js";

interface SoakRecord {
    readonly outcomes: readonly Outcome[];
    /** Times at which backend servers started to execute each request. */
    readonly runs: ReadonlyMap<string, readonly number[]>;
    /** Requests that a leaving server started to execute after the limit had passed. */
    readonly runsAfterDrain: readonly string[];
    /** Requests that a planned stop of a VM cut off although the VM had read them. */
    readonly requestsCutByStop: readonly string[];
    /** What servers asked of their callers and VMs did not follow. */
    readonly ignoredDirectives: readonly string[];
    /** Live servers that a VM does not use after all faults have ended. */
    readonly unusedServers: readonly string[];
    /** VMs that used a configuration older than one that had to be in force. */
    readonly olderConfigurations: readonly string[];
    readonly vmFaults: readonly VmFault[];
}

const STATUSES_NOT_RUN: readonly number[] = [408, 421, 429, 503];
const STATUS_OK = 200;
// Maximum duration of a request: its deadline plus the response's network delay and scheduling delays on a busy
// machine.
const MAX_DURATION_MS = 2_300;

/** Checks the guarantees of the load balancer and returns one line for each violation. */
export const checkInvariants = (record: SoakRecord): readonly string[] => {
    const { outcomes, runs } = record;
    const violations: string[] = [];
    for (const outcome of outcomes) {
        const { requestId, statusCode, isIdempotent } = outcome;
        const runCount = runs.get(requestId)?.length ?? 0;
        if (!isIdempotent && runCount > 1) {
            violations.push(`${requestId} must run at most once but ran ${runCount} times`);
        }
        if (!isIdempotent && statusCode !== undefined && STATUSES_NOT_RUN.includes(statusCode) && runCount > 0) {
            violations.push(`${requestId} was reported as not run but ran`);
        }
        if (statusCode === STATUS_OK && outcome.body !== `answer to ${requestId}`) {
            violations.push(`${requestId} got the wrong body "${outcome.body}"`);
        }
        if (statusCode === STATUS_OK && runCount === 0) {
            violations.push(`${requestId} was answered with 200 but never ran`);
        }
        if (statusCode !== undefined && statusCode >= 400 && statusCode < 500 && statusCode !== 429) {
            violations.push(`${requestId} is valid but was rejected with ${statusCode}`);
        }
        // A paused process cannot answer (seed 8948260: no line in its log for 2.5 s after the request).
        const wasPaused = record.vmFaults.some(({ vmId, kind, startedAtMs, endedAtMs }) =>
            vmId === outcome.vmId && kind === "pause" && startedAtMs <= outcome.endedAtMs
            && endedAtMs >= outcome.sentAtMs
        );
        if (statusCode !== undefined && !wasPaused && outcome.endedAtMs - outcome.sentAtMs > MAX_DURATION_MS) {
            violations.push(`${requestId} took ${Math.round(outcome.endedAtMs - outcome.sentAtMs)} ms`);
        }
    }
    for (const requestId of record.requestsCutByStop) {
        violations.push(`${requestId} was cut off by a planned stop`);
    }
    return [
        ...violations,
        ...record.runsAfterDrain,
        ...record.ignoredDirectives,
        ...record.unusedServers,
        ...record.olderConfigurations,
    ];
};
