import { findKey } from "./find-key.js";
import { fitResponse } from "./fit-response.js";
import { governingTerm } from "./governing-term.js";
import { holderKey } from "./holder-key.js";
import type { KeyEntry } from "./key-entry.js";
import type { KeyPlace } from "./key-place.js";
import type { KeyTable } from "./key-table.js";
import { keyTime } from "./key-time.js";
import type { LedgerEvent } from "./ledger-event.js";
import type { LedgerState } from "./ledger-state.js";
import type { LedgerTransition } from "./ledger-transition.js";
import { putKey } from "./put-key.js";
import { responseBytes } from "./response-bytes.js";
import { sameRun } from "./same-run.js";
import type { SettleRequest } from "./settle-request.js";

/** Holders remembered per key. An older one whose claim arrives late could only make the key `unknown`. */
const ENDED_HOLDER_LIMIT = 8;

/** Key time above the bound up to which a release that overtook its claim is remembered. */
const RELEASE_AHEAD_MS = 60_000;

const settleGrant = (state: LedgerState, entry: KeyEntry, request: SettleRequest): KeyEntry => {
    if (request.outcome === "not-run") {
        const endedHolders = [...entry.endedHolders, entry.holder].slice(-ENDED_HOLDER_LIMIT);
        return { ...entry, status: "released", endedHolders };
    }
    if (request.outcome === "unknown") {
        return { ...entry, status: "unknown" };
    }
    const response = fitResponse(request.response, state.storedBytesLimit - state.table.counts.storedBytes);
    return { ...entry, status: "completed", response, storedBytes: responseBytes(response) };
};

const noteEnded = (entry: KeyEntry, holder: string): KeyEntry =>
    entry.endedHolders.includes(holder)
        ? entry
        : { ...entry, endedHolders: [...entry.endedHolders, holder].slice(-ENDED_HOLDER_LIMIT) };

const noteRelease = (state: LedgerState, place: KeyPlace, request: SettleRequest): KeyTable => {
    const governing = governingTerm(state, place);
    if (governing === undefined || governing === "too-old" || !sameRun(governing.term.owner, state.self)) {
        return state.table;
    }
    const { counts } = state.table;
    const keyCount = counts.granted + counts.completed + counts.unknown + counts.released;
    const boundMs = governing.endMs ?? state.ownBoundsMs.get(place.share) ?? governing.term.fromMs;
    const isInRange = place.keyTimeMs >= (state.table.floorsMs[place.share] ?? 0)
        && place.keyTimeMs < boundMs + RELEASE_AHEAD_MS;
    if (!isInRange || keyCount >= state.keyCountLimit) {
        return state.table;
    }
    const holder = holderKey(request);
    return putKey(state.table, place, {
        status: "released",
        fingerprint: "",
        holder,
        unknownFromMs: 0,
        response: undefined,
        storedBytes: 0,
        endedHolders: [holder],
    });
};

const settle = (state: LedgerState, request: SettleRequest): KeyTable => {
    const keyTimeMs = keyTime(request.key);
    if (keyTimeMs === undefined) {
        return state.table;
    }
    const share = state.shareOf(request.service, request.key);
    const place = { share, keyTimeMs, id: `${request.service}\n${request.key}` };
    const entry = findKey(state.table, place);
    const holder = holderKey(request);
    if (entry === undefined) {
        return request.outcome === "not-run" ? noteRelease(state, place, request) : state.table;
    }
    if (entry.status === "granted" && entry.holder === holder) {
        return putKey(state.table, place, settleGrant(state, entry, request));
    }
    // Completed and unknown are final. A release by another than the holder only bars that other one.
    const isOpen = entry.status === "granted" || entry.status === "released";
    return isOpen && request.outcome === "not-run"
        ? putKey(state.table, place, noteEnded(entry, holder))
        : state.table;
};

/** Settles a grant as the owner. Settlements of others than the holder, repeated and late ones change nothing. */
export const receiveSettle = (
    state: LedgerState,
    event: Extract<LedgerEvent, { type: "settle-received"; }>,
): LedgerTransition => ({
    state: { ...state, table: settle(state, event.request) },
    effects: [{ type: "answer-settle", rpcId: event.rpcId }],
});
