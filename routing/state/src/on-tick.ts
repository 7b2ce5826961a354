import type { RoutingDraft } from "./routing-draft.js";
import type { RoutingState } from "./routing-state.js";
import { tickService } from "./tick-service.js";

/** Runs the due work of all services and recomputes the next wake time. */
export const onTick = (draft: RoutingDraft): RoutingState => {
    let wakeAtMs = Infinity;
    for (const { name, wakeAtMs: serviceWakeAtMs } of draft.base.services) {
        if (serviceWakeAtMs > draft.atMs) {
            wakeAtMs = Math.min(wakeAtMs, serviceWakeAtMs);
            continue;
        }
        const service = draft.service(name);
        if (service !== undefined) {
            tickService(draft, service);
            wakeAtMs = Math.min(wakeAtMs, service.wakeAtMs);
        }
    }
    return { ...draft.commit(), wakeAtMs };
};
