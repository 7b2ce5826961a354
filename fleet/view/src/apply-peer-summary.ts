import type { Transition } from "@marigoldstall/core.types";
import { applyRegistrationChanges } from "./apply-registration-changes.js";
import { comparePositions } from "./compare-positions.js";
import { confirmReading } from "./confirm-reading.js";
import { confirmRegistrations } from "./confirm-registrations.js";
import { isOutdatedEra } from "./is-outdated-era.js";
import { selectNewChanges } from "./select-new-changes.js";
import type { ViewEffect } from "./view-effect.js";
import type { ViewEvent } from "./view-event.js";
import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";

type SummaryReceived = Extract<ViewEvent, { readonly type: "view-summary-received"; }>;

const applyPeerRegistrations = (state: ViewState, event: SummaryReceived, effects: ViewEffect[]): ViewState => {
    const { summary, atMs } = event;
    const { next: peerNext } = summary;
    const ownNext = state.registrationReading.next;
    if (peerNext === undefined || isOutdatedEra(state, peerNext.era)) {
        return state;
    }
    const confirmedAtMs = atMs - summary.ageMs;
    if (ownNext === undefined || ownNext.era < peerNext.era || comparePositions(ownNext, summary.base) < 0) {
        if (atMs - state.snapshotRequestedAtMs < VIEW_LIMITS.fetchRetryIntervalMs) {
            return state;
        }
        effects.push({ type: "fetch-view-snapshot", peerAddress: event.peerAddress });
        return { ...state, snapshotRequestedAtMs: atMs };
    }
    if (comparePositions(ownNext, peerNext) > 0) {
        return state;
    }
    const confirmed = confirmRegistrations(state, { atMs, confirmedAtMs, confirmation: summary.confirmation });
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
        confirmedAtMs: atMs - summary.configurationAgeMs,
        confirmation: summary.configurationConfirmation,
    });
    return { ...state, configurationReading };
};

/** Applies the changes in a peer's summary, or requests the data that is too large for a datagram. */
export const applyPeerSummary = (state: ViewState, event: SummaryReceived): Transition<ViewState, ViewEffect> => {
    const effects: ViewEffect[] = [];
    const next = applyPeerConfiguration(applyPeerRegistrations(state, event, effects), event, effects);
    return { state: next, effects };
};
