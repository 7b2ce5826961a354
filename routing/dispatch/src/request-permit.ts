import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { ServerState } from "./server-state.js";

/** Asks for permission to send the request of an attempt to its limited server. */
export const requestPermit = (draft: DispatchDraft, attempt: AttemptState, server: ServerState): void => {
    const { attemptId, instanceId } = attempt;
    const { availabilityZone } = server.server;
    draft.emit({ type: "request-permit", attemptId, instanceId, availabilityZone });
};
