import { estimateResponseBytes } from "./estimate-response-bytes.js";
import { findGoverningTerm } from "./find-governing-term.js";
import { findKey } from "./find-key.js";
import { formatHolder } from "./format-holder.js";
import { isSameDaemon } from "./is-same-daemon.js";
import type { KeyEntry } from "./key-entry.js";
import type { KeyLocation } from "./key-location.js";
import type { KeyTable } from "./key-table.js";
import type { LedgerEvent } from "./ledger-event.js";
import type { LedgerState } from "./ledger-state.js";
import type { LedgerTransition } from "./ledger-transition.js";
import { parseKeyTime } from "./parse-key-time.js";
import { putKey } from "./put-key.js";
import type { SettleRequest } from "./settle-request.js";
import { trimResponse } from "./trim-response.js";

/** Ended holders kept per key. A late claim of a dropped one could at worst make the key `unknown`. */
const ENDED_HOLDER_LIMIT = 8;

/** How far above the bound a key time may be for the owner to store a release that arrives before its claim. */
const EARLY_RELEASE_AHEAD_MS = 60_000;

const settleGrant = (state: LedgerState, entry: KeyEntry, request: SettleRequest): KeyEntry => {
    if (request.outcome === "not-run") {
        const endedHolders = [...entry.endedHolders, entry.holder].slice(-ENDED_HOLDER_LIMIT);
        return { ...entry, status: "released", endedHolders };
    }
    if (request.outcome === "unknown") {
        return { ...entry, status: "unknown" };
    }
    const response = trimResponse(request.response, state.storedBytesLimit - state.table.counts.storedBytes);
    return { ...entry, status: "completed", response, storedBytes: estimateResponseBytes(response) };
};

const addEndedHolder = (entry: KeyEntry, holder: string): KeyEntry =>
    entry.endedHolders.includes(holder)
        ? entry
        : { ...entry, endedHolders: [...entry.endedHolders, holder].slice(-ENDED_HOLDER_LIMIT) };

const recordEarlyRelease = (state: LedgerState, location: KeyLocation, request: SettleRequest): KeyTable => {
    const governing = findGoverningTerm(state, location);
    if (governing === undefined || governing === "too-old" || !isSameDaemon(governing.term.owner, state.self)) {
        return state.table;
    }
    const { counts } = state.table;
    const keyCount = counts.granted + counts.completed + counts.unknown + counts.released;
    const boundMs = governing.endMs ?? state.ownBoundsMs.get(location.share) ?? governing.term.fromMs;
    const isInRange = location.keyTimeMs >= (state.table.floorsMs[location.share] ?? 0)
        && location.keyTimeMs < boundMs + EARLY_RELEASE_AHEAD_MS;
    if (!isInRange || keyCount >= state.keyCountLimit) {
        return state.table;
    }
    const holder = formatHolder(request);
    return putKey(state.table, location, {
        status: "released",
        fingerprint: "",
        holder,
        unknownFromMs: 0,
        response: undefined,
        storedBytes: 0,
        endedHolders: [holder],
    });
};

const applySettlement = (state: LedgerState, request: SettleRequest): KeyTable => {
    const keyTimeMs = parseKeyTime(request.key);
    if (keyTimeMs === undefined) {
        return state.table;
    }
    const share = state.shareOf(request.service, request.key);
    const location = { share, keyTimeMs, id: `${request.service}\n${request.key}` };
    const entry = findKey(state.table, location);
    const holder = formatHolder(request);
    if (entry === undefined) {
        return request.outcome === "not-run" ? recordEarlyRelease(state, location, request) : state.table;
    }
    if (entry.status === "granted" && entry.holder === holder) {
        return putKey(state.table, location, settleGrant(state, entry, request));
    }
    // Completed and unknown are final. A release by another runner or request only keeps that one from getting a grant.
    const isReleasable = entry.status === "granted" || entry.status === "released";
    return isReleasable && request.outcome === "not-run"
        ? putKey(state.table, location, addEndedHolder(entry, holder))
        : state.table;
};

/** Settles a grant as the owner. Duplicate and late settlements and those of others do not change the outcome of a key. */
export const receiveSettle = (
    state: LedgerState,
    event: Extract<LedgerEvent, { type: "settle-received"; }>,
): LedgerTransition => ({
    state: { ...state, table: applySettlement(state, event.request) },
    effects: [{ type: "answer-settle", rpcId: event.rpcId }],
});
