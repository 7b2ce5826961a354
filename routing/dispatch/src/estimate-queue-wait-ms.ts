import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchService } from "./dispatch-service.js";
import type { RequestState } from "./request-state.js";
import { selectWorkMs } from "./select-work-ms.js";

/** Expected wait of a request behind `aheadCount` others, assuming that all VMs have equally long queues. */
export const estimateQueueWaitMs = (
    draft: DispatchDraft,
    service: DispatchService,
    opts: { readonly request: RequestState; readonly aheadCount: number; },
): number => {
    const slots = [...service.servers.values()]
        .filter(({ server }) => !server.isDraining)
        .reduce((sum, { server }) => sum + server.slots, 0);
    const workMs = selectWorkMs(service, opts.request.route) * service.slowness;
    return slots === 0 ? Infinity : (opts.aheadCount + 0.5) * draft.state.vmCount * workMs / slots;
};
