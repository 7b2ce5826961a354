import type { Transition } from "@marigoldstall/core.types";
import type { RegistrationChange } from "./registration-change.js";
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
        /** Nothing of the topic is known, neither from the store nor from peers. */
        readonly isNew: boolean;
    },
): boolean => {
    const { atMs, intervalMs } = opts;
    if (reading.isReading && atMs - reading.startedAtMs < VIEW_LIMITS.readTimeoutMs) {
        return false;
    }
    const { isNew } = opts;
    if (isNew && atMs < opts.firstReadAtMs + opts.readDelayMs) {
        return false;
    }
    return atMs - reading.failedAtMs >= (isNew ? intervalMs : VIEW_LIMITS.failureBackoffMs)
        && atMs - reading.startedAtMs >= intervalMs
        && (isNew || atMs - reading.confirmedAtMs >= intervalMs + opts.readDelayMs);
};

/** Starts the reads that are due and removes registrations that did not come back. */
export const tickView = (
    state: ViewState,
    opts: { readonly atMs: number; readonly readDelayMs: number; },
): Transition<ViewState, ViewEffect> => {
    const { atMs, readDelayMs } = opts;
    const effects: ViewEffect[] = [];
    let next = state;
    for (const topic of TOPICS) {
        const field = topic === "registrations" ? "registrationReading" : "configurationReading";
        const intervalMs = topic === "registrations"
            ? VIEW_LIMITS.registrationIntervalMs
            : VIEW_LIMITS.configurationIntervalMs;
        const reading = next[field];
        const isNew = topic === "registrations"
            ? reading.nextOffset === undefined
            : next.configuration === undefined;
        if (isDue(reading, { atMs, intervalMs, readDelayMs, isNew, firstReadAtMs: next.firstReadAtMs })) {
            next = { ...next, [field]: { ...reading, isReading: true, startedAtMs: atMs } };
            effects.push({ type: "read-store", topic, fromOffset: reading.nextOffset });
        }
    }
    const lapsed: RegistrationChange[] = [];
    for (const { heldUntilMs, offset, server } of next.servers.values()) {
        if (heldUntilMs !== undefined && heldUntilMs <= atMs) {
            lapsed.push({ offset, instanceId: server.instanceId, server: undefined });
        }
    }
    if (lapsed.length > 0) {
        const servers = new Map(next.servers);
        for (const change of lapsed) {
            servers.delete(change.instanceId);
        }
        next = { ...next, servers };
        effects.push({ type: "servers-changed", changes: lapsed, source: "lapsed" });
    }
    return { state: next, effects };
};
