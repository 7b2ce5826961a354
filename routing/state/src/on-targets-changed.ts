import type { ClassTargets, Targets } from "@marigoldstall/core.types";
import type { ClassState } from "./class-state.js";
import { createService } from "./create-service.js";
import { latencyBuckets } from "./latency-buckets.js";
import type { RoutingDraft } from "./routing-draft.js";

const createClass = (targets: ClassTargets): ClassState => ({
    targets,
    seconds: [],
    attemptLatencyCounts: new Float64Array(latencyBuckets.count),
    pendingAttemptLatenciesMs: [],
    attemptLatencyDecaySecond: 0,
    hedgeAfterMs: undefined,
});

/** Applies new targets. Remaining classes keep their statistics; open requests keep their previous targets. */
export const onTargetsChanged = (
    draft: RoutingDraft,
    opts: { readonly targets: Targets; readonly serviceNames: readonly string[]; },
): void => {
    const names = new Set([...opts.serviceNames, ...opts.targets.classes.map(targets => targets.service)]);
    for (const name of names) {
        const classes = opts.targets.classes.filter(targets => targets.service === name);
        const known = draft.service(name);
        if (known === undefined) {
            draft.addService(createService(name));
        }
        const service = draft.service(name);
        if (service !== undefined) {
            service.classes = new Map(classes.map(targets => {
                const former = service.classes.get(targets.name);
                return [targets.name, former === undefined ? createClass(targets) : { ...former, targets }];
            }));
            service.reserveSlot = classes.some(targets => targets.urgency !== "patient");
        }
    }
};
