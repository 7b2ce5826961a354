import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { durationProfiles } from "./duration-profiles.js";
import { HEDGE_LIMITS } from "./hedge-limits.js";
import type { RequestState } from "./request-state.js";
import { setNewest } from "./set-newest.js";

/**
 * Adds the duration of an attempt to the distribution of its route. An attempt that was cancelled says only that it would
 * have taken longer.
 */
export const recordDuration = (draft: DispatchDraft, request: RequestState, opts: {
    readonly attempt: AttemptState;
    readonly isCancelled: boolean;
}): void => {
    const { attempt, isCancelled } = opts;
    const { name } = request.route;
    const { hedging } = draft.service(request.service);
    if (draft.state.hedgeShare === 0) {
        return;
    }
    const profile = hedging.profiles.get(name) ?? durationProfiles.empty;
    const add = isCancelled ? durationProfiles.addCancelled : durationProfiles.add;
    const { instanceId, startedAtMs } = attempt;
    const durationMs = draft.atMs - startedAtMs;
    const maxSize = HEDGE_LIMITS.maxProfiles;
    draft.updateService(request.service, {
        hedging: {
            ...hedging,
            profiles: setNewest(hedging.profiles, [name, add(profile, durationMs)], { maxSize }),
            recentAnswers: isCancelled
                ? hedging.recentAnswers
                : [...hedging.recentAnswers, { instanceId, startedAtMs, durationMs }].slice(
                    -HEDGE_LIMITS.maxRecentAnswers,
                ),
        },
    });
};
