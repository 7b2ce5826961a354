import type { Pressure } from "@marigoldstall/core.types";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";

/** Takes the pressure that a peer reports: the highest level of the last seconds counts. */
export const onPressureReceived = (draft: RoutingDraft, pressure: readonly Pressure[]): void => {
    for (const { service: serviceName, level } of pressure) {
        const service = draft.service(serviceName);
        if (service !== undefined) {
            const outdated = draft.atMs - service.peerPressureAtMs > ROUTING_LIMITS.peerPressureMs;
            if (outdated || level >= service.peerPressureLevel) {
                service.peerPressureLevel = Math.max(0, Math.min(1, level));
                service.peerPressureAtMs = draft.atMs;
            }
        }
    }
};
