import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";

type PermitRequested = Extract<DispatchEvent, { readonly type: "permit-requested"; }>;

const MS_PER_SECOND = 1_000;

/**
 * Grants a permit to send one request to a limited server if its token bucket holds one. The bucket starts empty, as a VM
 * that granted permits before may just have granted one.
 */
export const onPermitRequested = (draft: DispatchDraft, event: PermitRequested): void => {
    const { atMs } = draft;
    const { attemptId, instanceId, replyHost, share } = event;
    const server = draft.server(instanceId);
    const perSecond = server?.requestLimit.perSecond;
    if (server === undefined || perSecond === undefined) {
        const retryAfterMs = DISPATCH_LIMITS.permitTimeoutMs;
        draft.emit({ type: "answer-permit", attemptId, instanceId, replyHost, isGranted: false, retryAfterMs });
        return;
    }
    const grantedPerSecond = Math.max(perSecond, DISPATCH_LIMITS.minPermitsPerSecond) * share;
    const capacity = 1 + grantedPerSecond * DISPATCH_LIMITS.permitBurstMs / MS_PER_SECOND;
    const { permits: previous, filledAtMs } = server.permitBucket ?? { permits: 0, filledAtMs: atMs };
    const permits = Math.min(capacity, previous + grantedPerSecond * (atMs - filledAtMs) / MS_PER_SECOND);
    const isGranted = permits >= 1;
    const left = isGranted ? permits - 1 : permits;
    draft.updateServer(instanceId, { permitBucket: { permits: left, filledAtMs: atMs } });
    const untilNextMs = grantedPerSecond > 0 ? (1 - left) / grantedPerSecond * MS_PER_SECOND : Infinity;
    const retryAfterMs = Math.min(DISPATCH_LIMITS.maxPermitRetryMs, Math.max(0, untilNextMs));
    draft.emit({ type: "answer-permit", attemptId, instanceId, replyHost, isGranted, retryAfterMs });
};
