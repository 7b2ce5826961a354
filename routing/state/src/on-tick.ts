import type { RoutingDraft } from "./routing-draft.js";
import type { RoutingState } from "./routing-state.js";
import { tickService } from "./tick-service.js";

/** Does what is due in all services and computes the next wake time anew. */
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
