import { decayFailures } from "./decay-failures.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";

/**
 * Counts a failure of a server that this VM has seen, tells the other VMs, and ejects the server for a while after
 * several in a row.
 */
export const recordFailure = (
    draft: DispatchDraft,
    instanceId: string,
    opts: { readonly reason: string; readonly weight: number; },
): void => {
    const server = draft.server(instanceId);
    if (server === undefined) {
        return;
    }
    const { atMs } = draft;
    draft.emit({ type: "report-failure", instanceId, weight: opts.weight });
    const failuresInRow = server.failuresInRow + 1;
    const shouldEject = failuresInRow >= DISPATCH_LIMITS.failuresBeforeEjection && server.ejectedUntilMs <= atMs;
    const durationMs = Math.min(DISPATCH_LIMITS.ejectionMs * 2 ** server.ejections, DISPATCH_LIMITS.maxEjectionMs);
    draft.updateServer(instanceId, {
        failures: Math.min(DISPATCH_LIMITS.maxFailures, decayFailures(server, atMs) + opts.weight),
        failuresAtMs: atMs,
        failuresInRow,
        ejections: shouldEject ? server.ejections + 1 : server.ejections,
        ejectedUntilMs: shouldEject ? atMs + durationMs : server.ejectedUntilMs,
    });
    if (shouldEject) {
        draft.log({
            kind: "eject",
            service: server.server.service,
            instanceId,
            reason: opts.reason,
            inputs: { failuresInRow, durationMs },
        });
    }
};
