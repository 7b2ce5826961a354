import type { BackendServer } from "@marigoldstall/core.types";
import type { DispatchDraft } from "./dispatch-draft.js";

interface ProbeServersOptions {
    readonly probeDueAgeMs: ((server: BackendServer) => number) | undefined;
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
        for (const [instanceId, serverState] of service.servers) {
            const { server, probedAtMs, measuredAtMs } = serverState;
            const isPending = probedAtMs !== undefined && atMs - probedAtMs < MAX_PENDING_PROBE_MS;
            const mayProbe = !server.isDraining && !isPending;
            if (mayProbe && atMs - measuredAtMs >= probeDueAgeMs(server)) {
                draft.updateServer(instanceId, { probedAtMs: atMs });
                draft.emit({ type: "probe-server", instanceId, address: server.address, healthPath });
            }
        }
    }
};
