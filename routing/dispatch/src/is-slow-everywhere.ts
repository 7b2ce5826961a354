import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchService } from "./dispatch-service.js";
import { durationProfiles } from "./duration-profiles.js";
import { HEDGE_LIMITS } from "./hedge-limits.js";

const listLateServers = (draft: DispatchDraft, service: DispatchService): Set<string> => {
    const late = new Set<string>();
    for (const requestKey of service.running) {
        const request = draft.request(requestKey);
        const profile = service.hedging.profiles.get(request?.route.name ?? "") ?? durationProfiles.empty;
        const lateMs = durationProfiles.quantile(profile, HEDGE_LIMITS.lateQuantile);
        for (const attempt of request?.attempts ?? []) {
            if (attempt.phase === "sent" && draft.atMs - attempt.startedAtMs > lateMs) {
                late.add(attempt.instanceId);
            }
        }
    }
    return late;
};

/**
 * Whether the other servers of a service seem to be as slow as that of an attempt: more of them owe this VM a response for
 * longer than most requests take than have answered a request that was sent after that of the attempt. A second
 * attempt would then be extra work without a gain. It answers at once, while the measured distribution of durations
 * adapts only with the first slow responses.
 */
export const isSlowEverywhere = (
    draft: DispatchDraft,
    service: DispatchService,
    attempt: AttemptState,
): boolean => {
    const elapsedMs = draft.atMs - attempt.startedAtMs;
    const lateServers = listLateServers(draft, service);
    lateServers.delete(attempt.instanceId);
    const answered = service.hedging.recentAnswers.filter(answer =>
        answer.instanceId !== attempt.instanceId && answer.startedAtMs >= attempt.startedAtMs
        && answer.durationMs < elapsedMs
    );
    return lateServers.size > new Set(answered.map(({ instanceId }) => instanceId)).size;
};
