import type { DispatchDraft } from "./dispatch-draft.js";
import { fadeFailures } from "./fade-failures.js";

/** Counts a response that shows that a server works. */
export const noteSuccess = (draft: DispatchDraft, instanceId: string): void => {
    const server = draft.server(instanceId);
    if (server !== undefined && (server.failures > 0 || server.ejections > 0)) {
        draft.updateServer(instanceId, {
            failures: fadeFailures(server, draft.atMs) / 2,
            failuresAtMs: draft.atMs,
            failuresInRow: 0,
            ejections: 0,
            ejectedUntilMs: -Infinity,
        });
    }
};
