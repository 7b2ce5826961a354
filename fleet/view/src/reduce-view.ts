import type { Transition } from "@marigoldstall/core.types";
import { adoptConfiguration } from "./adopt-configuration.js";
import { applyChanges } from "./apply-changes.js";
import { applyList } from "./apply-list.js";
import { confirmReading } from "./confirm-reading.js";
import { confirmView } from "./confirm-view.js";
import { followPeer } from "./follow-peer.js";
import { nextConfirmation } from "./next-confirmation.js";
import type { RegistrationChange } from "./registration-change.js";
import { tickView } from "./tick-view.js";
import type { ViewEffect } from "./view-effect.js";
import type { ViewEvent } from "./view-event.js";
import type { ViewState } from "./view-state.js";

const serversChanged = (changes: readonly RegistrationChange[], source: string): readonly ViewEffect[] =>
    changes.length === 0 ? [] : [{ type: "servers-changed", changes, source }];

const endReading = (state: ViewState): ViewState => ({
    ...state,
    registrationReading: { ...state.registrationReading, isReading: false, failedAtMs: -Infinity },
});

const onRegistrationsRead = (
    state: ViewState,
    event: Extract<ViewEvent, { readonly type: "registrations-read"; }>,
): Transition<ViewState, ViewEffect> => {
    const { atMs, startedAtMs } = event;
    const regained = regainedEffects(state.registrationReading, "registrations", atMs);
    // A page that stops before the end says nothing about what the store holds now.
    const confirmed = event.nextOffset >= event.endOffset
        ? confirmView(state, {
            atMs,
            confirmedAtMs: startedAtMs,
            confirmation: nextConfirmation(state, state.registrationReading),
        })
        : state;
    const { state: next, applied } = applyChanges(confirmed, event);
    return { state: endReading(next), effects: [...regained, ...serversChanged(applied, "store")] };
};

const onRegistrationsListed = (
    state: ViewState,
    event: Extract<ViewEvent, { readonly type: "registrations-listed"; }>,
): Transition<ViewState, ViewEffect> => {
    const { atMs } = event;
    const regained = regainedEffects(state.registrationReading, "registrations", atMs);
    const confirmed = confirmView(state, {
        atMs,
        confirmedAtMs: event.startedAtMs,
        confirmation: nextConfirmation(state, state.registrationReading),
    });
    const { state: next, applied } = applyList(confirmed, event);
    return { state: endReading(next), effects: [...regained, ...serversChanged(applied, "store")] };
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
        effects: [...regainedEffects(reading, "configuration", event.atMs), ...effects],
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

const regainedEffects = (
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
        case "registrations-read":
            return onRegistrationsRead(state, event);
        case "registrations-listed":
            return onRegistrationsListed(state, event);
        case "configuration-read":
            return onConfigurationRead(state, event);
        case "store-read-failed":
            return onStoreReadFailed(state, event);
        case "view-summary-received":
            return followPeer(state, event);
        case "view-snapshot-received": {
            const { snapshot, atMs } = event;
            if (snapshot.nextOffset < (state.registrationReading.nextOffset ?? 0)) {
                return { state, effects: [] };
            }
            const confirmed = confirmView(state, {
                atMs,
                confirmedAtMs: atMs - snapshot.ageMs,
                confirmation: snapshot.confirmation,
            });
            const { state: next, applied } = applyList(confirmed, { atMs, ...snapshot });
            return { state: next, effects: serversChanged(applied, "peer") };
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
