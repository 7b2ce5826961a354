import { selectConfigurationHealth } from "@marigoldstall/config.versions";
import type { RootState } from "@marigoldstall/daemon.state";
import { selectOwnershipHealth } from "@marigoldstall/fleet.ownership";
import { selectProbesInLastSecond } from "@marigoldstall/routing.measuring";
import { selectBackendServers, selectClassStatus } from "@marigoldstall/routing.state";
import type { DaemonStatus } from "./daemon-status.js";

// The list is polled every second and may lag by 30 s. An older one is stale.
const VM_LIST_STALE_MS = 35_000;
// Keeps the result below the size limit of a control call, which 2,200 backend servers would exceed.
const MAX_BACKEND_SERVERS = 100;

/** Selects the result of `status.get`. */
export const selectStatus = (state: RootState, opts: {
    readonly atMs: number;
    readonly reasonsNotReady: readonly string[];
    readonly stopping: boolean;
    readonly requestsInFlight: number;
}): DaemonStatus => {
    const { atMs } = opts;
    const { self, vmList, members } = state.membership;
    const ownership = selectOwnershipHealth(state.ownership, atMs);
    const configuration = selectConfigurationHealth(state.configuration, atMs);
    const stale = [...configuration.reasons];
    if (vmList === undefined) {
        stale.push("the VM list was never read");
    }
    else if (atMs - vmList.changedAtMs > VM_LIST_STALE_MS) {
        stale.push(`the VM list has not changed for ${Math.round((atMs - vmList.changedAtMs) / 1_000)} s`);
    }
    if (!ownership.logAvailable) {
        stale.push("the ownership stream cannot be read");
    }
    return {
        vmId: self.daemon.vmId,
        incarnation: self.daemon.incarnation,
        availabilityZone: self.availabilityZone,
        configurationVersion: state.applied?.version,
        configurationDigest: state.applied?.digest,
        ready: opts.reasonsNotReady.length === 0,
        reasonsNotReady: opts.reasonsNotReady,
        stopping: opts.stopping,
        classes: selectClassStatus(state.routing, atMs),
        backendServers: selectBackendServers(state.routing, atMs)
            .filter(server => server.condition !== "usable").slice(0, MAX_BACKEND_SERVERS),
        members: (members ?? []).map(member => member.daemon.vmId),
        sharesOwned: ownership.sharesOwned,
        sharesGuarded: ownership.sharesGuarded,
        sharesWithoutTerm: ownership.sharesWithoutTerm,
        logAvailable: configuration.isLogAvailable && ownership.logAvailable,
        probesInLastSecond: selectProbesInLastSecond(state.measuring, atMs),
        probesPerSecond: state.applied?.targets.measuring.probesPerSecond ?? 0,
        requestsInFlight: opts.requestsInFlight,
        stale,
    };
};
