import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchService } from "./dispatch-service.js";
import { isInUse } from "./is-in-use.js";
import type { RequestState } from "./request-state.js";
import { selectBackoffMs } from "./select-backoff-ms.js";
import { selectPermitRate } from "./select-permit-rate.js";
import { selectWorkMs } from "./select-work-ms.js";
import type { ServerState } from "./server-state.js";

const MS_PER_SECOND = 1_000;

// The slots that the limit of a server keeps busy.
const countUsableSlots = (draft: DispatchDraft, server: ServerState, workMs: number): number =>
    Math.min(
        server.server.slots,
        (selectPermitRate(draft.state, server, draft.atMs) ?? Infinity) * workMs / MS_PER_SECOND,
    );

/** Expected wait of a request behind `aheadCount` others, assuming that all VMs have equally long queues. */
export const estimateQueueWaitMs = (
    draft: DispatchDraft,
    service: DispatchService,
    opts: { readonly request: RequestState; readonly aheadCount: number; },
): number => {
    const workMs = selectWorkMs(service, opts.request.route) * service.slowness;
    const slots = [...service.servers.values()]
        .filter(server => isInUse(server, draft.state))
        .reduce((sum, server) => sum + countUsableSlots(draft, server, workMs), 0);
    const backoffMs = selectBackoffMs(service, draft);
    return slots === 0 ? Infinity : backoffMs + (opts.aheadCount + 0.5) * draft.state.vmCount * workMs / slots;
};
