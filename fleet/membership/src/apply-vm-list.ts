import type { VmList } from "@marigoldstall/core.types";
import type { MembershipState } from "./membership-state.js";
import type { Peer } from "./peer.js";

/**
 * Adds the entry VMs of a VM list as peers. A list that has fewer than half as many entry VMs as the last plausible one
 * is treated as faulty: it may add peers, but does not mark any as unlisted.
 */
export const applyVmList = (
    state: MembershipState,
    opts: { readonly atMs: number; readonly vmList: VmList; },
): MembershipState => {
    const { atMs, vmList } = opts;
    if (state.vmList !== undefined && vmList.asOfMs < state.vmList.asOfMs) {
        return state;
    }
    const entryVms = vmList.vms.filter(vm => vm.role === "entry");
    const isImplausible = state.vmList !== undefined && entryVms.length * 2 < state.vmList.entryCount;
    const peers = new Map<string, Peer>();
    for (const peer of state.peers.values()) {
        peers.set(peer.vmId, isImplausible || !peer.listed ? peer : { ...peer, listed: false });
    }
    for (const vm of entryVms) {
        if (vm.vmId === state.self.daemon.vmId) {
            continue;
        }
        const peer = peers.get(vm.vmId);
        peers.set(vm.vmId, {
            vmId: vm.vmId,
            // The address from a heartbeat is preferred, as the list may lag behind the replacement of a VM.
            address: peer?.beatAtMs === undefined ? vm.address : peer.address,
            availabilityZone: vm.availabilityZone,
            incarnation: peer?.incarnation,
            beat: peer?.beat ?? 0,
            beatAtMs: peer?.beatAtMs,
            listed: true,
            leaving: vm.state === "leaving",
            stopping: peer?.stopping ?? false,
            configurationVersion: peer?.configurationVersion ?? 0,
            firstSeenAtMs: peer?.firstSeenAtMs ?? atMs,
        });
    }
    return {
        ...state,
        peers,
        vmList: {
            asOfMs: vmList.asOfMs,
            changedAtMs: state.vmList?.asOfMs === vmList.asOfMs ? state.vmList.changedAtMs : atMs,
            entryCount: isImplausible && state.vmList !== undefined ? state.vmList.entryCount : entryVms.length,
        },
    };
};
