import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchService } from "./dispatch-service.js";
import type { RequestState } from "./request-state.js";
import { selectWorkMs } from "./select-work-ms.js";

/** How long a request waits behind `ahead` others, if the queues of the other VMs are as long as this one's. */
export const estimateQueueWaitMs = (
    draft: DispatchDraft,
    service: DispatchService,
    opts: { readonly request: RequestState; readonly ahead: number; },
): number => {
    const slots = [...service.servers.values()]
        .filter(({ server }) => !server.isDraining)
        .reduce((sum, { server }) => sum + server.slots, 0);
    const workMs = selectWorkMs(service, opts.request.route) * service.slowness;
    return slots === 0 ? Infinity : (opts.ahead + 0.5) * draft.base.vmCount * workMs / slots;
};
