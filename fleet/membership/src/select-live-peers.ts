import { isLive } from "./is-live.js";
import type { MembershipState } from "./membership-state.js";
import type { Peer } from "./peer.js";

/** Selects the live peers, including those that are leaving or stopping. */
export const selectLivePeers = (state: MembershipState, opts: { readonly atMs: number; }): readonly Peer[] =>
    [...state.peers.values()].filter(peer => isLive(peer, opts));
