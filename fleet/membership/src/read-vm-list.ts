import type { VmList } from "@marigoldstall/core.types";
import type { MembershipState } from "./membership-state.js";
import type { Peer } from "./peer.js";

/**
 * Takes the entry VMs of a VM list as peers. A list that is empty or lost more than half of the entry VMs at once
 * is taken for a fault of the list: it may add peers, but marks none as absent.
 */
export const readVmList = (
    state: MembershipState,
    opts: { readonly atMs: number; readonly vmList: VmList; },
): MembershipState => {
    const { atMs, vmList } = opts;
    if (state.vmList !== undefined && vmList.asOfMs < state.vmList.asOfMs) {
        return state;
    }
    const entries = vmList.vms.filter(vm => vm.role === "entry");
    const suspicious = state.vmList !== undefined && entries.length * 2 < state.vmList.entryCount;
    const peers = new Map<string, Peer>();
    for (const peer of state.peers.values()) {
        peers.set(peer.vmId, suspicious || !peer.listed ? peer : { ...peer, listed: false });
    }
    for (const vm of entries) {
        if (vm.vmId === state.self.daemon.vmId) {
            continue;
        }
        const peer = peers.get(vm.vmId);
        peers.set(vm.vmId, {
            vmId: vm.vmId,
            // A heartbeat tells the address more reliably than a list that lags behind a replaced VM.
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
            entryCount: suspicious && state.vmList !== undefined ? state.vmList.entryCount : entries.length,
        },
    };
};
