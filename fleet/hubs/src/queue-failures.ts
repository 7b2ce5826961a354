import type { HubState } from "./hub-state.js";
import type { ServerFailure } from "./server-failure.js";

/** Queues notices of failures of backend servers. */
export const queueFailures = (state: HubState, update: {
    readonly atMs: number;
    readonly failures: readonly ServerFailure[];
}): HubState => {
    const { outbox } = state;
    if (update.failures.length === 0) {
        return state;
    }
    const failures = [...outbox.failures, ...update.failures];
    return { ...state, outbox: { ...outbox, failures, queuedSinceMs: outbox.queuedSinceMs ?? update.atMs } };
};
