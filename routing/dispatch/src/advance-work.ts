import type { DispatchDraft } from "./dispatch-draft.js";
import type { ServerState } from "./server-state.js";

const PERCENT = 100;

/** Estimates how far the attempts at a server have come at the slowness that was last reported. */
export const advanceWork = (draft: DispatchDraft, server: ServerState): void => {
    if (server.ownInFlight === 0) {
        return;
    }
    const { atMs } = draft;
    const service = draft.service(server.server.service);
    const slowness = server.load?.slownessPercent === undefined
        ? service.slowness
        : server.load.slownessPercent / PERCENT;
    for (const requestKey of service.running) {
        const request = draft.request(requestKey);
        if (request?.attempts.some(attempt => attempt.instanceId === server.server.instanceId) === true) {
            const attempts = request.attempts.map(attempt =>
                attempt.instanceId === server.server.instanceId
                    ? { ...attempt, doneMs: attempt.doneMs + (atMs - attempt.doneAtMs) / slowness, doneAtMs: atMs }
                    : attempt
            );
            draft.setRequest({ ...request, attempts });
        }
    }
};
