import type { Transition } from "@marigoldstall/core.types";
import { applyRegistrationChanges } from "./apply-registration-changes.js";
import { comparePositions } from "./compare-positions.js";
import { confirmReading } from "./confirm-reading.js";
import { confirmRegistrations } from "./confirm-registrations.js";
import { isOutdatedEra } from "./is-outdated-era.js";
import { mergeEvacuations } from "./merge-evacuations.js";
import { selectCountedTimeMs } from "./select-counted-time-ms.js";
import { selectNewChanges } from "./select-new-changes.js";
import { selectPeerEra } from "./select-peer-era.js";
import type { StorePosition } from "./store-position.js";
import type { ViewEffect } from "./view-effect.js";
import type { ViewEvent } from "./view-event.js";
import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";

type SummaryReceived = Extract<ViewEvent, { readonly type: "view-summary-received"; }>;

// A view that lacks changes before the summary's needs the complete list of the peer. One that has listed a restored copy
// itself needs it once, to learn which servers of the copy others have seen leave.
const selectFetchReason = (
    state: ViewState,
    opts: { readonly peerNext: StorePosition; readonly base: StorePosition; },
): "behind" | "unchecked" | undefined => {
    const ownNext = state.registrationReading.next;
    const { peerNext, base } = opts;
    if (ownNext === undefined || ownNext.era < peerNext.era || comparePositions(ownNext, base) < 0) {
        return "behind";
    }
    return state.isListUnchecked && comparePositions(peerNext, ownNext) >= 0 ? "unchecked" : undefined;
};

const applyPeerChanges = (
    state: ViewState,
    event: SummaryReceived & { readonly peerNext: StorePosition; },
    effects: ViewEffect[],
): ViewState => {
    const { summary, atMs, peerNext } = event;
    const confirmed = confirmRegistrations(state, {
        atMs,
        confirmedAtMs: atMs - summary.ageMs,
        confirmation: summary.confirmation,
    });
    const { state: next, applied } = applyRegistrationChanges(confirmed, {
        atMs,
        era: peerNext.era,
        changes: selectNewChanges(state, { era: peerNext.era, changes: summary.changes }),
        nextOffset: peerNext.offset,
    });
    if (applied.length > 0) {
        effects.push({ type: "servers-changed", changes: applied, source: event.peerAddress });
    }
    return next;
};

const applyPeerRegistrations = (before: ViewState, event: SummaryReceived, effects: ViewEffect[]): ViewState => {
    const { summary, atMs, peerAddress } = event;
    if (summary.next === undefined) {
        return before;
    }
    const era = selectPeerEra(before, summary.next.era);
    const peerNext = { ...summary.next, era };
    const base = { ...summary.base, era: selectPeerEra(before, summary.base.era) };
    if (isOutdatedEra(before, era)) {
        return before;
    }
    let state = before;
    const fetchReason = selectFetchReason(state, { peerNext, base });
    if (fetchReason !== undefined && atMs - state.snapshotRequestedAtMs >= VIEW_LIMITS.fetchRetryIntervalMs) {
        effects.push({ type: "fetch-view-snapshot", peerAddress });
        state = { ...state, snapshotRequestedAtMs: atMs };
    }
    const ownNext = state.registrationReading.next;
    if (fetchReason === "behind" || ownNext === undefined || comparePositions(ownNext, peerNext) > 0) {
        return state;
    }
    return applyPeerChanges(state, { ...event, peerNext }, effects);
};

const applyPeerConfiguration = (state: ViewState, event: SummaryReceived, effects: ViewEffect[]): ViewState => {
    const { summary, atMs } = event;
    const ownVersion = state.configuration?.configuration.version ?? 0;
    if (summary.configurationVersion > ownVersion) {
        if (atMs - state.configurationRequestedAtMs < VIEW_LIMITS.fetchRetryIntervalMs) {
            return state;
        }
        effects.push({ type: "fetch-peer-configuration", peerAddress: event.peerAddress });
        return { ...state, configurationRequestedAtMs: atMs };
    }
    if (summary.configurationVersion < ownVersion) {
        return state;
    }
    const configurationReading = confirmReading(state.configurationReading, {
        confirmedAtMs: selectCountedTimeMs(state, atMs - summary.configurationAgeMs),
        confirmation: summary.configurationConfirmation,
    });
    return { ...state, configurationReading };
};

/** Applies the changes in a peer's summary, or requests the data that is too large for a datagram. */
export const applyPeerSummary = (state: ViewState, event: SummaryReceived): Transition<ViewState, ViewEffect> => {
    const { state: merged, effects: evacuations } = mergeEvacuations(state, {
        records: event.summary.evacuations ?? [],
        source: event.peerAddress,
    });
    const effects: ViewEffect[] = [...evacuations];
    const next = applyPeerConfiguration(applyPeerRegistrations(merged, event, effects), event, effects);
    return { state: next, effects };
};
