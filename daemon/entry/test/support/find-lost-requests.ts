import type { SentRequest } from "./sent-request.js";

// Time after the last byte of a request within which a process may end a connection that it has not read from.
const LOSS_SLACK_MS = 200;
// Requests at their deadline, or at the timeout of their route, are answered or cut for that reason.
const DEADLINE_MS = 1_400;

/** Finds the requests that were passed on to a server, or read, and whose connection ended without a response. */
export const findLostRequests = (opts: {
    readonly outcomes: readonly SentRequest[];
    readonly runs: ReadonlyMap<string, number>;
    /** When the daemon has to end, however slowly callers read. */
    readonly graceEndsAtMs: number;
}): readonly SentRequest[] =>
    opts.outcomes.filter(outcome => {
        const durationMs = outcome.endedAtMs - outcome.sentAtMs;
        const ran = opts.runs.has(outcome.requestId);
        const isExcused = outcome.habit === "slow-reader"
            ? outcome.endedAtMs >= opts.graceEndsAtMs
            : durationMs >= DEADLINE_MS;
        return outcome.statusCode === undefined && !isExcused
            && (ran || (!outcome.isBehindAnother && durationMs > LOSS_SLACK_MS));
    });
