import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { isColdLimited } from "./is-cold-limited.js";
import { selectColdLimit } from "./select-cold-limit.js";
import { selectPermitRate } from "./select-permit-rate.js";
import type { ServerState } from "./server-state.js";

type PermitRequested = Extract<DispatchEvent, { readonly type: "permit-requested"; }>;

const MS_PER_SECOND = 1_000;

// Permits that the bucket of a server holds at most. For a cold server, they also stay within what the users allow beyond
// its limit.
const selectCapacity = (draft: DispatchDraft, server: ServerState, grantedPerSecond: number): number => {
    const { coldBounds } = draft.state;
    const capacity = 1 + grantedPerSecond * DISPATCH_LIMITS.permitBurstMs / MS_PER_SECOND;
    return coldBounds === undefined || selectColdLimit(draft.state, server, draft.atMs) === undefined
        ? capacity
        : Math.max(1, Math.min(capacity, (coldBounds.overFactor - 1) * grantedPerSecond + coldBounds.slackRequests));
};

/**
 * Grants a permit to send one request to a limited or cold server if its token bucket holds one. The bucket starts empty,
 * as a VM that granted permits before may just have granted one. A server that is only thought to be cold by the VM that
 * asks needs no permit.
 */
export const onPermitRequested = (draft: DispatchDraft, event: PermitRequested): void => {
    const { atMs } = draft;
    const { attemptId, instanceId, replyHost, share } = event;
    const server = draft.server(instanceId);
    const perSecond = server && selectPermitRate(draft.state, server, atMs);
    if (
        server !== undefined && perSecond === undefined && share > 0
        && isColdLimited(draft.state, server.server.service)
    ) {
        draft.emit({ type: "answer-permit", attemptId, instanceId, replyHost, isGranted: true, retryAfterMs: 0 });
        return;
    }
    if (server === undefined || perSecond === undefined) {
        const retryAfterMs = DISPATCH_LIMITS.permitTimeoutMs;
        draft.emit({ type: "answer-permit", attemptId, instanceId, replyHost, isGranted: false, retryAfterMs });
        return;
    }
    const grantedPerSecond = Math.max(perSecond, DISPATCH_LIMITS.minPermitsPerSecond) * share;
    const capacity = selectCapacity(draft, server, grantedPerSecond);
    const { permits: previous, filledAtMs } = server.permitBucket ?? { permits: 0, filledAtMs: atMs };
    const permits = Math.min(capacity, previous + grantedPerSecond * (atMs - filledAtMs) / MS_PER_SECOND);
    const isGranted = permits >= 1;
    const left = isGranted ? permits - 1 : permits;
    draft.updateServer(instanceId, { permitBucket: { permits: left, filledAtMs: atMs } });
    const untilNextMs = grantedPerSecond > 0 ? (1 - left) / grantedPerSecond * MS_PER_SECOND : Infinity;
    const retryAfterMs = Math.min(DISPATCH_LIMITS.maxPermitRetryMs, Math.max(0, untilNextMs));
    draft.emit({ type: "answer-permit", attemptId, instanceId, replyHost, isGranted, retryAfterMs });
};
