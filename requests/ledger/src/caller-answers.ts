import type { CallerAnswer } from "./caller-answer.js";
import { ledgerReason } from "./ledger-reason.js";
import { LEDGER_TIMING } from "./ledger-timing.js";

const answer = (
    statusCode: number,
    outcome: CallerAnswer["outcome"],
    reasonCode: string,
    retryAfterMs?: number,
): CallerAnswer => ({ statusCode, outcome, reasonCode, retryAfterMs, response: undefined });

const { retryAfterMs } = LEDGER_TIMING;

/**
 * Fixed responses. `not-run` guarantees that this request is never sent. The outcome is `unknown` where an earlier
 * request with the same key may have run, and repeating the request would not find out either.
 */
export const callerAnswers = {
    keyInvalid: answer(400, "not-run", ledgerReason.keyInvalid),
    keyMismatch: answer(422, "not-run", ledgerReason.keyMismatch),
    keyInProgress: answer(409, "unknown", ledgerReason.keyInProgress, retryAfterMs),
    keyOutcomeUnknown: answer(409, "unknown", ledgerReason.keyOutcomeUnknown),
    keyOwnerGone: answer(409, "unknown", ledgerReason.keyOwnerGone),
    keyTooOld: answer(409, "unknown", ledgerReason.keyTooOld),
    keyTimeAhead: answer(400, "not-run", ledgerReason.keyTimeAhead),
    responseNotKept: answer(409, "completed", ledgerReason.responseNotKept),
    shareUnavailable: answer(503, "not-run", ledgerReason.shareUnavailable, retryAfterMs),
    ownerUnreachable: answer(503, "not-run", ledgerReason.ownerUnreachable, retryAfterMs),
    ledgerFull: answer(503, "not-run", ledgerReason.ledgerFull, retryAfterMs),
    deadlinePassed: answer(503, "not-run", ledgerReason.deadlinePassed, retryAfterMs),
} as const;
