import type { Transition } from "@marigoldstall/core.types";
import { applyChanges } from "./apply-changes.js";
import { confirmReading } from "./confirm-reading.js";
import { confirmView } from "./confirm-view.js";
import type { ViewEffect } from "./view-effect.js";
import type { ViewEvent } from "./view-event.js";
import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";

type SummaryReceived = Extract<ViewEvent, { readonly type: "view-summary-received"; }>;

const followRegistrations = (state: ViewState, event: SummaryReceived, effects: ViewEffect[]): ViewState => {
    const { summary, atMs } = event;
    const ownOffset = state.registrationReading.nextOffset;
    if (summary.nextOffset === undefined) {
        return state;
    }
    const confirmedAtMs = atMs - summary.ageMs;
    if (ownOffset === undefined || ownOffset < summary.baseOffset) {
        if (atMs - state.fetchedSnapshotAtMs < VIEW_LIMITS.fetchIntervalMs) {
            return state;
        }
        effects.push({ type: "fetch-view-snapshot", peerAddress: event.peerAddress });
        return { ...state, fetchedSnapshotAtMs: atMs };
    }
    if (ownOffset > summary.nextOffset) {
        return state;
    }
    const confirmed = confirmView(state, { atMs, confirmedAtMs, confirmation: summary.confirmation });
    const { state: next, applied } = applyChanges(confirmed, {
        atMs,
        changes: summary.changes,
        nextOffset: summary.nextOffset,
    });
    if (applied.length > 0) {
        effects.push({ type: "servers-changed", changes: applied, source: event.peerAddress });
    }
    return next;
};

const followConfiguration = (state: ViewState, event: SummaryReceived, effects: ViewEffect[]): ViewState => {
    const { summary, atMs } = event;
    const ownVersion = state.configuration?.configuration.version ?? 0;
    if (summary.configurationVersion > ownVersion) {
        if (atMs - state.fetchedConfigurationAtMs < VIEW_LIMITS.fetchIntervalMs) {
            return state;
        }
        effects.push({ type: "fetch-peer-configuration", peerAddress: event.peerAddress });
        return { ...state, fetchedConfigurationAtMs: atMs };
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

/** Takes over what a peer knows and this daemon does not. */
export const followPeer = (state: ViewState, event: SummaryReceived): Transition<ViewState, ViewEffect> => {
    const effects: ViewEffect[] = [];
    const next = followConfiguration(followRegistrations(state, event, effects), event, effects);
    return { state: next, effects };
};
