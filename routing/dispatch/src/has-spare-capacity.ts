import { HEDGE_LIMITS } from "./hedge-limits.js";
import { selectAvailableAtMs } from "./select-available-at-ms.js";
import type { ServerEstimate } from "./server-estimate.js";

/** Whether enough slots of the candidates are free for extra work, as far as this VM knows. */
export const hasSpareCapacity = (estimates: readonly ServerEstimate[], atMs: number): boolean => {
    let slots = 0;
    let freeSlots = 0;
    for (const { server, occupied } of estimates) {
        slots += server.server.slots;
        freeSlots += selectAvailableAtMs(server) > atMs ? 0 : Math.max(0, server.server.slots - occupied);
    }
    return freeSlots >= slots * HEDGE_LIMITS.minFreeSlotShare;
};
