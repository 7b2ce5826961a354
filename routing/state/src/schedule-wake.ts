import type { Mutable } from "./mutable.js";
import type { ServiceState } from "./service-state.js";

/** Schedules a tick no later than `atMs`. */
export const scheduleWake = (service: Mutable<ServiceState>, atMs: number): void => {
    service.wakeAtMs = Math.min(service.wakeAtMs, atMs);
};
