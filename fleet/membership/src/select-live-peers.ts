import { isLive } from "./is-live.js";
import type { MembershipState } from "./membership-state.js";
import type { Peer } from "./peer.js";

/** Peers that were heard of recently, also those that are leaving. */
export const selectLivePeers = (state: MembershipState, opts: { readonly atMs: number; }): readonly Peer[] =>
    [...state.peers.values()].filter(peer => isLive(peer, opts));
