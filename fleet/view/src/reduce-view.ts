import type { Transition } from "@marigoldstall/core.types";
import { adoptConfiguration } from "./adopt-configuration.js";
import { applyPeerSummary } from "./apply-peer-summary.js";
import { applyRegistrationChanges } from "./apply-registration-changes.js";
import { applyRegistrationList } from "./apply-registration-list.js";
import { confirmReading } from "./confirm-reading.js";
import { confirmRegistrations } from "./confirm-registrations.js";
import { nextConfirmation } from "./next-confirmation.js";
import { onResumed } from "./on-resumed.js";
import type { RegistrationChange } from "./registration-change.js";
import { tickView } from "./tick-view.js";
import type { ViewEffect } from "./view-effect.js";
import type { ViewEvent } from "./view-event.js";
import type { ViewState } from "./view-state.js";

const serversChangedEffects = (changes: readonly RegistrationChange[], source: string): readonly ViewEffect[] =>
    changes.length === 0 ? [] : [{ type: "servers-changed", changes, source }];

const finishRegistrationRead = (state: ViewState): ViewState => ({
    ...state,
    registrationReading: { ...state.registrationReading, isReading: false, failedAtMs: -Infinity },
});

const onRegistrationsRead = (
    state: ViewState,
    event: Extract<ViewEvent, { readonly type: "registrations-read"; }>,
): Transition<ViewState, ViewEffect> => {
    const { atMs, startedAtMs } = event;
    const regained = storeRegainedEffects(state.registrationReading, "registrations", atMs);
    // A page that ends before the end of the topic does not prove that the view is current.
    const confirmed = event.nextOffset >= event.endOffset
        ? confirmRegistrations(state, {
            atMs,
            confirmedAtMs: startedAtMs,
            confirmation: nextConfirmation(state, state.registrationReading),
        })
        : state;
    const { state: next, applied } = applyRegistrationChanges(confirmed, event);
    return { state: finishRegistrationRead(next), effects: [...regained, ...serversChangedEffects(applied, "store")] };
};

const onRegistrationsListed = (
    state: ViewState,
    event: Extract<ViewEvent, { readonly type: "registrations-listed"; }>,
): Transition<ViewState, ViewEffect> => {
    const { atMs } = event;
    const regained = storeRegainedEffects(state.registrationReading, "registrations", atMs);
    const confirmed = confirmRegistrations(state, {
        atMs,
        confirmedAtMs: event.startedAtMs,
        confirmation: nextConfirmation(state, state.registrationReading),
    });
    const { state: next, applied } = applyRegistrationList(confirmed, event);
    return { state: finishRegistrationRead(next), effects: [...regained, ...serversChangedEffects(applied, "store")] };
};

const onConfigurationRead = (
    state: ViewState,
    event: Extract<ViewEvent, { readonly type: "configuration-read"; }>,
): Transition<ViewState, ViewEffect> => {
    const reading = state.configurationReading;
    const { state: next, effects } = adoptConfiguration(state, event.configuration);
    return {
        state: {
            ...next,
            configurationReading: {
                ...confirmReading(reading, {
                    confirmedAtMs: event.startedAtMs,
                    confirmation: nextConfirmation(state, reading),
                }),
                nextOffset: Math.max(event.nextOffset, reading.nextOffset ?? 0),
                isReading: false,
                failedAtMs: -Infinity,
            },
        },
        effects: [...storeRegainedEffects(reading, "configuration", event.atMs), ...effects],
    };
};

const onStoreReadFailed = (
    state: ViewState,
    event: Extract<ViewEvent, { readonly type: "store-read-failed"; }>,
): Transition<ViewState, ViewEffect> => {
    const field = event.topic === "registrations" ? "registrationReading" : "configurationReading";
    const reading = state[field];
    const { atMs } = event;
    if (event.isExpired) {
        const next = { ...reading, nextOffset: undefined, isReading: false, startedAtMs: -Infinity };
        return { state: { ...state, [field]: next }, effects: [] };
    }
    const isFirst = reading.failedAtMs === -Infinity;
    return {
        state: { ...state, [field]: { ...reading, isReading: false, failedAtMs: atMs } },
        effects: isFirst
            ? [{ type: "store-lost", topic: event.topic, ageMs: atMs - reading.confirmedAtMs }]
            : [],
    };
};

const storeRegainedEffects = (
    reading: ViewState["registrationReading"],
    topic: string,
    atMs: number,
): readonly ViewEffect[] =>
    reading.failedAtMs === -Infinity
        ? []
        : [{ type: "store-regained", topic, outageMs: atMs - reading.confirmedAtMs }];

/** Reducer of the view. */
export const reduceView = (state: ViewState, event: ViewEvent): Transition<ViewState, ViewEffect> => {
    switch (event.type) {
        case "view-tick":
            return tickView(state, event);
        case "resumed":
            return { state: onResumed(state, event.uncountedMs), effects: [] };
        case "registrations-read":
            return onRegistrationsRead(state, event);
        case "registrations-listed":
            return onRegistrationsListed(state, event);
        case "configuration-read":
            return onConfigurationRead(state, event);
        case "store-read-failed":
            return onStoreReadFailed(state, event);
        case "view-summary-received":
            return applyPeerSummary(state, event);
        case "view-snapshot-received": {
            const { snapshot, atMs } = event;
            if (snapshot.nextOffset < (state.registrationReading.nextOffset ?? 0)) {
                return { state, effects: [] };
            }
            const confirmed = confirmRegistrations(state, {
                atMs,
                confirmedAtMs: atMs - snapshot.ageMs,
                confirmation: snapshot.confirmation,
            });
            const { state: next, applied } = applyRegistrationList(confirmed, { atMs, ...snapshot });
            return { state: next, effects: serversChangedEffects(applied, "peer") };
        }
        case "peer-configuration-received": {
            const { state: next, effects } = adoptConfiguration(state, event.configuration);
            if (effects.length === 0) {
                return { state, effects };
            }
            const configurationReading = confirmReading(next.configurationReading, {
                confirmedAtMs: event.atMs - event.ageMs,
                confirmation: event.confirmation,
            });
            return { state: { ...next, configurationReading }, effects };
        }
    }
};
