import type { Transition } from "@marigoldstall/core.types";
import { adoptConfiguration } from "./adopt-configuration.js";
import { applyEvacuationRecords } from "./apply-evacuation-records.js";
import { applyPeerSummary } from "./apply-peer-summary.js";
import { applyRegistrationChanges } from "./apply-registration-changes.js";
import { applyRegistrationList } from "./apply-registration-list.js";
import { comparePositions } from "./compare-positions.js";
import { confirmReading } from "./confirm-reading.js";
import { confirmRegistrations } from "./confirm-registrations.js";
import { isOutdatedEra } from "./is-outdated-era.js";
import { mergeEvacuations } from "./merge-evacuations.js";
import { nextConfirmation } from "./next-confirmation.js";
import { observeEra } from "./observe-era.js";
import { onResumed } from "./on-resumed.js";
import { READING_FIELD_BY_TOPIC } from "./reading-field-by-topic.js";
import type { RegistrationChange } from "./registration-change.js";
import { selectCountedTimeMs } from "./select-counted-time-ms.js";
import { selectLaterPosition } from "./select-later-position.js";
import { selectNewChanges } from "./select-new-changes.js";
import { selectPeerEra } from "./select-peer-era.js";
import type { StorePosition } from "./store-position.js";
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

const isBeforeOwnPosition = (state: ViewState, position: StorePosition): boolean => {
    const { next } = state.registrationReading;
    return next !== undefined && comparePositions(position, next) < 0;
};

const ignoreOutdatedRead = (
    state: ViewState,
    event: { readonly topic: "registrations" | "configuration"; readonly era: number; },
): Transition<ViewState, ViewEffect> => {
    const { topic, era } = event;
    const field = READING_FIELD_BY_TOPIC[topic];
    return {
        state: { ...state, [field]: { ...state[field], isReading: false } },
        effects: [{ type: "outdated-read-ignored", topic, era }],
    };
};

const onRegistrationsRead = (
    before: ViewState,
    event: Extract<ViewEvent, { readonly type: "registrations-read"; }>,
): Transition<ViewState, ViewEffect> => {
    const { atMs, startedAtMs, era } = event;
    if (isOutdatedEra(before, era)) {
        return ignoreOutdatedRead(before, { topic: "registrations", era });
    }
    const { state, effects: restored } = observeEra(before, era);
    const regained = storeRegainedEffects(state.registrationReading, "registrations", atMs);
    if (event.from.era !== era) {
        // The store was restored in between, so these are not the records that follow this view.
        const next = finishRegistrationRead(state);
        const registrationReading = { ...next.registrationReading, startedAtMs: -Infinity };
        return { state: { ...next, registrationReading }, effects: [...restored, ...regained] };
    }
    // A page that ends before the end of the topic does not prove that the view is current.
    const confirmed = event.nextOffset >= event.endOffset
        ? confirmRegistrations(state, {
            atMs,
            confirmedAtMs: startedAtMs,
            confirmation: nextConfirmation(state, state.registrationReading),
        })
        : state;
    const changes = selectNewChanges(state, event);
    const { state: next, applied } = applyRegistrationChanges(confirmed, { ...event, changes });
    return {
        state: finishRegistrationRead(next),
        effects: [...restored, ...regained, ...serversChangedEffects(applied, "store")],
    };
};

const onRegistrationsListed = (
    before: ViewState,
    event: Extract<ViewEvent, { readonly type: "registrations-listed"; }>,
): Transition<ViewState, ViewEffect> => {
    const { atMs, era } = event;
    if (isOutdatedEra(before, era)) {
        return ignoreOutdatedRead(before, { topic: "registrations", era });
    }
    const { state, effects: restored } = observeEra(before, era);
    const regained = storeRegainedEffects(state.registrationReading, "registrations", atMs);
    if (isBeforeOwnPosition(state, { era, offset: event.nextOffset })) {
        // A peer has told of later changes since, which the list does not contain.
        return { state: finishRegistrationRead(state), effects: regained };
    }
    const confirmed = confirmRegistrations(state, {
        atMs,
        confirmedAtMs: event.startedAtMs,
        confirmation: nextConfirmation(state, state.registrationReading),
    });
    const { state: next, applied } = applyRegistrationList(confirmed, event);
    const isListUnchecked = state.isListUnchecked || state.listedEra !== era;
    return {
        state: { ...finishRegistrationRead(next), isListUnchecked },
        effects: [...restored, ...regained, ...serversChangedEffects(applied, "store")],
    };
};

const onConfigurationRead = (
    before: ViewState,
    event: Extract<ViewEvent, { readonly type: "configuration-read"; }>,
): Transition<ViewState, ViewEffect> => {
    const { era, from } = event;
    // Versions only rise, so a newer version counts even in a response from before a restore.
    const { state: withConfiguration, effects: configurations } = adoptConfiguration(before, event.configuration);
    const { state: adopted, effects: evacuations } = applyEvacuationRecords(withConfiguration, event);
    const adoptions = [...configurations, ...evacuations];
    if (isOutdatedEra(before, era)) {
        const ignored = ignoreOutdatedRead(adopted, { topic: "configuration", era });
        return { state: ignored.state, effects: [...adoptions, ...ignored.effects] };
    }
    const { state, effects: restored } = observeEra(adopted, era);
    const reading = state.configurationReading;
    const effects = [...restored, ...storeRegainedEffects(reading, "configuration", event.atMs), ...adoptions];
    const finished = { ...reading, isReading: false, failedAtMs: -Infinity };
    if (from !== undefined && from.era !== era) {
        // The store was restored in between, so records before this response may be missing.
        return { state: { ...state, configurationReading: { ...finished, startedAtMs: -Infinity } }, effects };
    }
    const next = selectLaterPosition({ era, offset: event.nextOffset }, reading.next);
    if (event.nextOffset < (event.endOffset ?? event.nextOffset)) {
        // A page that ends before the end of the topic does not prove that the view is current. The next page is read at
        // once, unless the store sent no record.
        const hasProgress = from === undefined || event.nextOffset > from.offset;
        const startedAtMs = hasProgress ? -Infinity : finished.startedAtMs;
        return { state: { ...state, configurationReading: { ...finished, next, startedAtMs } }, effects };
    }
    const confirmed = confirmReading(finished, {
        confirmedAtMs: selectCountedTimeMs(state, event.startedAtMs),
        confirmation: nextConfirmation(state, reading),
    });
    return { state: { ...state, configurationReading: { ...confirmed, next } }, effects };
};

const onViewSnapshotReceived = (
    unmerged: ViewState,
    event: Extract<ViewEvent, { readonly type: "view-snapshot-received"; }>,
): Transition<ViewState, ViewEffect> => {
    const { atMs } = event;
    // Each record has its own position, so it counts also if the list of registrations is out of date.
    const { state: before, effects: evacuations } = mergeEvacuations(unmerged, {
        records: event.snapshot.evacuations ?? [],
        source: "peer",
    });
    const snapshot = { ...event.snapshot, era: selectPeerEra(before, event.snapshot.era) };
    const { era, nextOffset } = snapshot;
    if (isBeforeOwnPosition(before, { era, offset: nextOffset }) || isOutdatedEra(before, era)) {
        return { state: before, effects: evacuations };
    }
    const { state, effects: restored } = observeEra(before, era);
    const confirmed = confirmRegistrations(state, {
        atMs,
        confirmedAtMs: atMs - snapshot.ageMs,
        confirmation: snapshot.confirmation,
    });
    const { state: next, applied } = applyRegistrationList(confirmed, { atMs, ...snapshot });
    return {
        state: { ...next, isListUnchecked: false },
        effects: [...restored, ...evacuations, ...serversChangedEffects(applied, "peer")],
    };
};

const onStoreReadFailed = (
    before: ViewState,
    event: Extract<ViewEvent, { readonly type: "store-read-failed"; }>,
): Transition<ViewState, ViewEffect> => {
    const field = READING_FIELD_BY_TOPIC[event.topic];
    const { atMs, era } = event;
    // A proxy that rejects a call sends no era, which counts as 0 and is no sign of a restore.
    const { state, effects: restored } = era === undefined || before.storeEra === undefined
        ? { state: before, effects: [] }
        : observeEra(before, era);
    const reading = state[field];
    if (event.isExpired) {
        // After a restore, the view remains the best one for peers until the list has arrived.
        const isOfEarlierEra = reading.next !== undefined && isOutdatedEra(state, reading.next.era);
        const next = isOfEarlierEra ? reading.next : undefined;
        const expired = { ...reading, next, isReading: false, startedAtMs: -Infinity };
        return { state: { ...state, [field]: expired }, effects: restored };
    }
    const isFirst = reading.failedAtMs === -Infinity;
    return {
        state: { ...state, [field]: { ...reading, isReading: false, failedAtMs: atMs } },
        effects: isFirst
            ? [...restored, { type: "store-lost", topic: event.topic, ageMs: atMs - reading.confirmedAtMs }]
            : restored,
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
        case "seeds-asked":
            return { state: { ...state, firstReadAtMs: -Infinity }, effects: [] };
        case "resumed":
            return { state: onResumed(state, event), effects: [] };
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
        case "view-snapshot-received":
            return onViewSnapshotReceived(state, event);
        case "peer-configuration-received": {
            const { state: merged, effects: evacuations } = mergeEvacuations(state, {
                records: event.evacuations ?? [],
                source: "peer",
            });
            const { state: next, effects } = adoptConfiguration(merged, event.configuration);
            if (effects.length === 0) {
                return { state: merged, effects: evacuations };
            }
            const configurationReading = confirmReading(next.configurationReading, {
                confirmedAtMs: selectCountedTimeMs(state, event.atMs - event.ageMs),
                confirmation: event.confirmation,
            });
            return { state: { ...next, configurationReading }, effects: [...evacuations, ...effects] };
        }
    }
};
