import type { Transition } from "@marigoldstall/core.types";
import { endRetention } from "./end-retention.js";
import { READING_FIELD_BY_TOPIC } from "./reading-field-by-topic.js";
import type { ViewEffect } from "./view-effect.js";
import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";

const TOPICS = ["registrations", "configuration"] as const;

const isDue = (
    reading: ViewState["registrationReading"],
    opts: {
        readonly atMs: number;
        readonly intervalMs: number;
        readonly readDelayMs: number;
        readonly firstReadAtMs: number;
        /** Whether no data of the topic was received yet, neither from the store nor from a peer. */
        readonly isInitial: boolean;
    },
): boolean => {
    const { atMs, intervalMs } = opts;
    if (reading.isReading && atMs - reading.startedAtMs < VIEW_LIMITS.readTimeoutMs) {
        return false;
    }
    const { isInitial } = opts;
    if (isInitial && atMs < opts.firstReadAtMs + opts.readDelayMs) {
        return false;
    }
    return atMs - reading.failedAtMs >= (isInitial ? intervalMs : VIEW_LIMITS.failureBackoffMs)
        && atMs - reading.startedAtMs >= intervalMs
        && (isInitial || atMs - reading.confirmedAtMs >= intervalMs + opts.readDelayMs);
};

/** Starts the reads that are due, and ends the retention of expired and the withholding of restored registrations. */
export const tickView = (
    state: ViewState,
    opts: { readonly atMs: number; readonly readDelayMs: number; },
): Transition<ViewState, ViewEffect> => {
    const { atMs, readDelayMs } = opts;
    const effects: ViewEffect[] = [];
    let next = state;
    for (const topic of TOPICS) {
        const field = READING_FIELD_BY_TOPIC[topic];
        const intervalMs = topic === "registrations"
            ? VIEW_LIMITS.registrationIntervalMs
            : VIEW_LIMITS.configurationIntervalMs;
        const reading = next[field];
        const isInitial = topic === "registrations"
            ? reading.next === undefined
            : next.configuration === undefined;
        if (isDue(reading, { atMs, intervalMs, readDelayMs, isInitial, firstReadAtMs: next.firstReadAtMs })) {
            next = { ...next, [field]: { ...reading, isReading: true, startedAtMs: atMs } };
            // In a restored store, a position of an earlier era denotes other records.
            const from = reading.next?.era === next.storeEra ? reading.next : undefined;
            effects.push({ type: "read-store", topic, from });
        }
    }
    const ended = endRetention(next, atMs);
    return { state: ended.state, effects: [...effects, ...ended.effects] };
};
