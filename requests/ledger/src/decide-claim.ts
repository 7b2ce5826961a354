import type { ClaimReply } from "./claim-reply.js";
import type { ClaimRequest } from "./claim-request.js";
import { findGoverningTerm } from "./find-governing-term.js";
import { findKey } from "./find-key.js";
import { formatHolder } from "./format-holder.js";
import type { KeyEntry } from "./key-entry.js";
import { ledgerReason } from "./ledger-reason.js";
import type { LedgerState } from "./ledger-state.js";
import { LEDGER_TIMING } from "./ledger-timing.js";
import { parseKeyTime } from "./parse-key-time.js";
import { putKey } from "./put-key.js";

const refuse = (reasonCode: string, retryAfterMs?: number): ClaimReply => ({
    type: "refused",
    reasonCode,
    retryAfterMs,
});

const replyFromEntry = (entry: KeyEntry, request: ClaimRequest, atMs: number): ClaimReply | undefined => {
    const holder = formatHolder(request);
    if (entry.endedHolders.includes(holder)) {
        return refuse(ledgerReason.requestEnded);
    }
    if (entry.status === "released") {
        return undefined;
    }
    if (entry.status === "granted" && entry.holder === holder) {
        return { type: "granted" };
    }
    if (entry.fingerprint !== request.fingerprint) {
        return { type: "mismatch" };
    }
    if (entry.status === "completed") {
        return { type: "completed", response: entry.response };
    }
    return entry.status === "granted" && atMs < entry.unknownFromMs ? { type: "in-progress" } : { type: "unknown" };
};

/** Decides a claim as the owner of the key. The reply is `wait` while the bound may soon pass the key time. */
export const decideClaim = (
    state: LedgerState,
    opts: { readonly request: ClaimRequest; readonly atMs: number; readonly wallMs: number; },
): { readonly state: LedgerState; readonly reply: ClaimReply | "wait"; } => {
    const { request, atMs } = opts;
    const keyTimeMs = parseKeyTime(request.key);
    if (keyTimeMs === undefined) {
        return { state, reply: refuse(ledgerReason.keyInvalid) };
    }
    const share = state.shareOf(request.service, request.key);
    const governing = findGoverningTerm(state, { share, keyTimeMs });
    if (governing === "too-old") {
        return { state, reply: refuse(ledgerReason.keyTooOld) };
    }
    if (governing?.term.owner.vmId !== state.self.vmId) {
        return { state, reply: refuse(ledgerReason.wrongOwner) };
    }
    if (governing.term.owner.incarnation !== state.self.incarnation) {
        return { state, reply: refuse(ledgerReason.keyOwnerGone) };
    }
    const location = { share, keyTimeMs, id: `${request.service}\n${request.key}` };
    const entry = findKey(state.table, location);
    const knownReply = entry === undefined ? undefined : replyFromEntry(entry, request, atMs);
    if (knownReply !== undefined) {
        return { state, reply: knownReply };
    }
    if (keyTimeMs < (state.table.floorsMs[share] ?? 0)) {
        return { state, reply: refuse(ledgerReason.keyTooOld) };
    }
    const boundMs = governing.endMs ?? state.ownBoundsMs.get(share) ?? governing.term.fromMs;
    if (keyTimeMs >= boundMs + LEDGER_TIMING.boundWaitMs) {
        const isCallerClockAhead = keyTimeMs >= opts.wallMs + LEDGER_TIMING.maxKeyTimeAheadMs;
        return {
            state,
            reply: isCallerClockAhead
                ? refuse(ledgerReason.keyTimeAhead)
                : refuse(ledgerReason.shareUnavailable, LEDGER_TIMING.retryAfterMs),
        };
    }
    if (keyTimeMs >= boundMs) {
        return { state, reply: "wait" };
    }
    const { counts } = state.table;
    const keyCount = counts.granted + counts.completed + counts.unknown + counts.released;
    const isFull = (entry === undefined && keyCount >= state.keyCountLimit)
        || counts.storedBytes >= state.storedBytesLimit;
    if (isFull) {
        return { state, reply: refuse(ledgerReason.ledgerFull, LEDGER_TIMING.retryAfterMs) };
    }
    const remainingMs = Math.min(Math.max(0, request.remainingMs), LEDGER_TIMING.keyRetentionMs);
    const granted: KeyEntry = {
        status: "granted",
        fingerprint: request.fingerprint,
        holder: formatHolder(request),
        unknownFromMs: atMs + remainingMs + LEDGER_TIMING.settleGraceMs,
        response: undefined,
        storedBytes: 0,
        endedHolders: entry?.endedHolders ?? [],
    };
    return { state: { ...state, table: putKey(state.table, location, granted) }, reply: { type: "granted" } };
};
