import type { ServerDirectives } from "@marigoldstall/core.types";
import type { DispatchDraft } from "./dispatch-draft.js";
import { recordLeaving } from "./record-leaving.js";
import { recordRequestLimit } from "./record-request-limit.js";
import { startBackoff } from "./start-backoff.js";

/**
 * Applies what a server asks of its callers in a response. Only the response to a request shows that a limit has ended;
 * that of a health check need not state it.
 */
export const applyDirectives = (draft: DispatchDraft, instanceId: string, opts: {
    readonly directives: ServerDirectives | undefined;
    readonly isHealthCheck: boolean;
}): void => {
    const { directives, isHealthCheck } = opts;
    const startedAtUnixMs = draft.server(instanceId)?.server.startedAtUnixMs
        ?? draft.state.formerServers.get(instanceId)?.startedAtUnixMs;
    if (directives?.isLeaving === true && startedAtUnixMs !== undefined) {
        recordLeaving(draft, { instanceId, startedAtUnixMs, source: "response" });
    }
    if (directives?.retryAfterMs !== undefined && directives.retryAfterMs > 0) {
        startBackoff(draft, instanceId, directives.retryAfterMs);
    }
    const perSecond = directives?.requestLimitPerSecond;
    if (directives !== undefined && (perSecond !== undefined || !isHealthCheck)) {
        const requestLimit = { perSecond, statedAtMs: draft.atMs };
        recordRequestLimit(draft, instanceId, { requestLimit, source: "response" });
    }
};
