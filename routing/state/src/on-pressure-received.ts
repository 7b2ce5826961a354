import type { Pressure } from "@marigoldstall/core.types";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";

/** Applies the pressure reported by a peer. The highest level of the last seconds is kept. */
export const onPressureReceived = (draft: RoutingDraft, pressure: readonly Pressure[]): void => {
    for (const { service: serviceName, level } of pressure) {
        const service = draft.service(serviceName);
        if (service !== undefined) {
            const outdated = draft.atMs - service.peerPressureAtMs > ROUTING_LIMITS.peerPressureValidMs;
            if (outdated || level >= service.peerPressureLevel) {
                service.peerPressureLevel = Math.max(0, Math.min(1, level));
                service.peerPressureAtMs = draft.atMs;
            }
        }
    }
};
