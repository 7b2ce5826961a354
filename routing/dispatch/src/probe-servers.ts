import type { DispatchDraft } from "./dispatch-draft.js";

interface ProbeServersOptions {
    readonly measures: ((availabilityZone: string) => boolean) | undefined;
    readonly probeIntervalMs: number;
}

// A health check without an answer for this long is given up by the shell; later ones are not held back by it.
const PROBE_LIFE_MS = 400;

/** Asks those servers for their load that this VM measures and whose newest report is due. */
export const probeServers = (draft: DispatchDraft, opts: ProbeServersOptions): void => {
    const { atMs, base } = draft;
    const { measures } = opts;
    if (measures === undefined) {
        return;
    }
    for (const service of base.services.values()) {
        const healthPath = base.configuration?.services.get(service.name)?.healthPath;
        if (healthPath === undefined) {
            continue;
        }
        for (const [instanceId, state] of service.servers) {
            const { server, probedAtMs, measuredAtMs } = state;
            const isAsked = probedAtMs !== undefined && atMs - probedAtMs < PROBE_LIFE_MS;
            const isDue = atMs - measuredAtMs >= opts.probeIntervalMs;
            if (!server.isDraining && isDue && !isAsked && measures(server.availabilityZone)) {
                draft.updateServer(instanceId, { probedAtMs: atMs });
                draft.emit({ type: "probe-server", instanceId, address: server.address, healthPath });
            }
        }
    }
};
