import type { DaemonId } from "@marigoldstall/core.types";
import type { MembershipState } from "./membership-state.js";

/** Selects the control address of one incarnation of a daemon. Undefined when that incarnation is not known. */
export const selectAddress = (state: MembershipState, opts: { readonly daemon: DaemonId; }): string | undefined => {
    if (opts.daemon.vmId === state.self.daemon.vmId) {
        return opts.daemon.incarnation === state.self.daemon.incarnation ? state.self.address : undefined;
    }
    const peer = state.peers.get(opts.daemon.vmId);
    return peer?.incarnation === opts.daemon.incarnation ? peer.address : undefined;
};
