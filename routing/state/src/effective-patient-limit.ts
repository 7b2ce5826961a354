import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";

/** Patient requests that may be in flight now, by this daemon's own limit and the pressure that peers report. */
export const effectivePatientLimit = (service: ServiceState, atMs: number): number => {
    if (!service.reserveSlot) {
        return Infinity;
    }
    const fresh = atMs - service.peerPressureAtMs <= ROUTING_LIMITS.peerPressureMs;
    const peerLevel = fresh ? service.peerPressureLevel : 0;
    const level = Math.max(peerLevel, service.pressureLevel);
    const highest = Math.max(1, service.servers.length);
    return Math.min(service.patientLimit, Math.floor(highest * (1 - level)));
};
