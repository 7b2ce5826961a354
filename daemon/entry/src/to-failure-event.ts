import type { EntryEffect } from "./entry-effect.js";
import type { EntryEvent } from "./entry-event.js";

/**
 * Returns the event that ends the wait for the result of an effect that failed half-way, or undefined if the reducer waits
 * for none. A request whose attempt failed so may have been sent.
 */
export const toFailureEvent = (effect: EntryEffect): EntryEvent | undefined => {
    switch (effect.type) {
        case "read-store":
            return { type: "store-read-failed", topic: effect.topic, isExpired: false };
        case "start-attempt": {
            const { attemptId } = effect;
            return { type: "attempt-failed", attemptId, failure: "lost", reason: "attempt-not-handled" };
        }
        case "check-server": {
            const { attemptId } = effect;
            return { type: "server-checked", attemptId, isAnswered: false, isHealthy: false, load: undefined };
        }
        case "probe-server":
            return { type: "probe-failed", instanceId: effect.instanceId };
        case "verify-server": {
            const { instanceId, askedAtMs } = effect;
            return { type: "server-verified", instanceId, askedAtMs, result: "unknown" };
        }
        default:
            return undefined;
    }
};
