import type { DispatchDraft } from "./dispatch-draft.js";
import type { ProbeDueAge } from "./probe-due-age.js";

interface ProbeServersOptions {
    readonly probeDueAgeMs: ProbeDueAge | undefined;
}

// The daemon gives up on an unanswered probe within this time, so that it does not hold back later ones.
const MAX_PENDING_PROBE_MS = 400;

/** Probes the servers that are assigned to this VM, once their latest load report is due for renewal. */
export const probeServers = (draft: DispatchDraft, opts: ProbeServersOptions): void => {
    const { atMs, state } = draft;
    const { probeDueAgeMs } = opts;
    if (probeDueAgeMs === undefined) {
        return;
    }
    for (const service of state.services.values()) {
        const healthPath = state.configuration?.services.get(service.name)?.healthPath;
        if (healthPath === undefined) {
            continue;
        }
        for (const serverState of service.servers.values()) {
            const { server, probedAtMs, measuredAtMs, requestLimit, isLeaving, backoffUntilMs } = serverState;
            const dueAgeMs = probeDueAgeMs(server, requestLimit.perSecond);
            const maxPendingMs = requestLimit.perSecond === undefined
                ? MAX_PENDING_PROBE_MS
                : Math.max(MAX_PENDING_PROBE_MS, dueAgeMs);
            const isPending = probedAtMs !== undefined && atMs - probedAtMs < maxPendingMs;
            const mayProbe = !server.isDraining && !isLeaving && backoffUntilMs <= atMs && !isPending;
            if (mayProbe && atMs - measuredAtMs >= dueAgeMs) {
                const { instanceId } = server;
                draft.updateServer(instanceId, { probedAtMs: atMs });
                draft.emit({ type: "probe-server", instanceId, address: server.address, healthPath });
            }
        }
    }
};
