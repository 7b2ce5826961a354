import type { ClaimReply } from "./claim-reply.js";
import type { ClaimRequest } from "./claim-request.js";
import { findKey } from "./find-key.js";
import { governingTerm } from "./governing-term.js";
import { holderKey } from "./holder-key.js";
import type { KeyEntry } from "./key-entry.js";
import { keyTime } from "./key-time.js";
import { ledgerReason } from "./ledger-reason.js";
import type { LedgerState } from "./ledger-state.js";
import { ledgerTiming } from "./ledger-timing.js";
import { putKey } from "./put-key.js";

const refuse = (reasonCode: string, retryAfterMs?: number): ClaimReply => ({
    type: "refused",
    reasonCode,
    retryAfterMs,
});

const replyFromEntry = (entry: KeyEntry, request: ClaimRequest, atMs: number): ClaimReply | undefined => {
    const holder = holderKey(request);
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

/** Decides about a claim as the owner of the key. `wait` when the bound may soon be above the key time. */
export const decideClaim = (
    state: LedgerState,
    opts: { readonly request: ClaimRequest; readonly atMs: number; readonly wallMs: number; },
): { readonly state: LedgerState; readonly reply: ClaimReply | "wait"; } => {
    const { request, atMs } = opts;
    const keyTimeMs = keyTime(request.key);
    if (keyTimeMs === undefined) {
        return { state, reply: refuse(ledgerReason.keyInvalid) };
    }
    const share = state.shareOf(request.service, request.key);
    const governing = governingTerm(state, { share, keyTimeMs });
    if (governing === "too-old") {
        return { state, reply: refuse(ledgerReason.keyTooOld) };
    }
    if (governing?.term.owner.vmId !== state.self.vmId) {
        return { state, reply: refuse(ledgerReason.wrongOwner) };
    }
    if (governing.term.owner.incarnation !== state.self.incarnation) {
        return { state, reply: refuse(ledgerReason.keyOwnerGone) };
    }
    const place = { share, keyTimeMs, id: `${request.service}\n${request.key}` };
    const entry = findKey(state.table, place);
    const known = entry === undefined ? undefined : replyFromEntry(entry, request, atMs);
    if (known !== undefined) {
        return { state, reply: known };
    }
    if (keyTimeMs < (state.table.floorsMs[share] ?? 0)) {
        return { state, reply: refuse(ledgerReason.keyTooOld) };
    }
    const boundMs = governing.endMs ?? state.ownBoundsMs.get(share) ?? governing.term.fromMs;
    if (keyTimeMs >= boundMs + ledgerTiming.boundWaitMs) {
        const isCallerAhead = keyTimeMs >= opts.wallMs + ledgerTiming.keyAheadMs;
        return {
            state,
            reply: isCallerAhead
                ? refuse(ledgerReason.keyTimeAhead)
                : refuse(ledgerReason.shareUnavailable, ledgerTiming.retryAfterMs),
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
        return { state, reply: refuse(ledgerReason.ledgerFull, ledgerTiming.retryAfterMs) };
    }
    const remainingMs = Math.min(Math.max(0, request.remainingMs), ledgerTiming.keyRetentionMs);
    const granted: KeyEntry = {
        status: "granted",
        fingerprint: request.fingerprint,
        holder: holderKey(request),
        unknownFromMs: atMs + remainingMs + ledgerTiming.settleGraceMs,
        response: undefined,
        storedBytes: 0,
        endedHolders: entry?.endedHolders ?? [],
    };
    return { state: { ...state, table: putKey(state.table, place, granted) }, reply: { type: "granted" } };
};
