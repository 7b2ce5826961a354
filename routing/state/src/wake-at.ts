import type { Mutable } from "./mutable.js";
import type { ServiceState } from "./service-state.js";

/** Makes sure that a tick comes no later than this. */
export const wakeAt = (service: Mutable<ServiceState>, atMs: number): void => {
    service.wakeAtMs = Math.min(service.wakeAtMs, atMs);
};
