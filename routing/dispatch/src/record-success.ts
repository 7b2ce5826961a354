import { decayFailures } from "./decay-failures.js";
import type { DispatchDraft } from "./dispatch-draft.js";

/** Records a successful response: halves the failure count of the server and ends its ejection. */
export const recordSuccess = (draft: DispatchDraft, instanceId: string): void => {
    const server = draft.server(instanceId);
    if (server !== undefined && (server.failures > 0 || server.ejections > 0)) {
        draft.updateServer(instanceId, {
            failures: decayFailures(server, draft.atMs) / 2,
            failuresAtMs: draft.atMs,
            failuresInRow: 0,
            ejections: 0,
            ejectedUntilMs: -Infinity,
        });
    }
};
