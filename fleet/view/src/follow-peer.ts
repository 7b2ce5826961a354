import type { Transition } from "@marigoldstall/core.types";
import { applyChanges } from "./apply-changes.js";
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
    const { state: next, applied } = applyChanges(confirmView(state, { atMs, confirmedAtMs }), {
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
    const confirmedAtMs = atMs - summary.configurationAgeMs;
    if (summary.configurationVersion === ownVersion && confirmedAtMs > state.configurationReading.confirmedAtMs) {
        return { ...state, configurationReading: { ...state.configurationReading, confirmedAtMs } };
    }
    return state;
};

/** Takes over what a peer knows and this daemon does not. */
export const followPeer = (state: ViewState, event: SummaryReceived): Transition<ViewState, ViewEffect> => {
    const effects: ViewEffect[] = [];
    const next = followConfiguration(followRegistrations(state, event, effects), event, effects);
    return { state: next, effects };
};
