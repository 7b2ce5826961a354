import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { fadeFailures } from "./fade-failures.js";

/** Counts a failure of a server, and leaves it out for a while after several in a row. */
export const noteFailure = (
    draft: DispatchDraft,
    instanceId: string,
    opts: { readonly reason: string; readonly weight: number; },
): void => {
    const server = draft.server(instanceId);
    if (server === undefined) {
        return;
    }
    const { atMs } = draft;
    const failuresInRow = server.failuresInRow + 1;
    const ejects = failuresInRow >= DISPATCH_LIMITS.ejectionFailures && server.ejectedUntilMs <= atMs;
    const durationMs = Math.min(DISPATCH_LIMITS.ejectionMs * 2 ** server.ejections, DISPATCH_LIMITS.maxEjectionMs);
    draft.updateServer(instanceId, {
        failures: Math.min(DISPATCH_LIMITS.failureMax, fadeFailures(server, atMs) + opts.weight),
        failuresAtMs: atMs,
        failuresInRow,
        ejections: ejects ? server.ejections + 1 : server.ejections,
        ejectedUntilMs: ejects ? atMs + durationMs : server.ejectedUntilMs,
    });
    if (ejects) {
        draft.log({
            kind: "eject",
            service: server.server.service,
            instanceId,
            reason: opts.reason,
            inputs: { failuresInRow, durationMs },
        });
    }
};
