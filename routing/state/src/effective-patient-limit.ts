import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";

/** Returns how many patient requests may be in flight, given this daemon's own limit and the pressure from peers. */
export const effectivePatientLimit = (service: ServiceState, atMs: number): number => {
    if (!service.reserveSlot) {
        return Infinity;
    }
    const isFresh = atMs - service.peerPressureAtMs <= ROUTING_LIMITS.peerPressureValidMs;
    const peerLevel = isFresh ? service.peerPressureLevel : 0;
    const level = Math.max(peerLevel, service.pressureLevel);
    const maxLimit = Math.max(1, service.servers.length);
    return Math.min(service.patientLimit, Math.floor(maxLimit * (1 - level)));
};
