import { MEMBERSHIP_TIMING } from "./membership-timing.js";
import type { Peer } from "./peer.js";

/** Whether a peer's beat counter increased recently. Ignores the VM list, which lags and may be empty. */
export const isLive = (peer: Peer, opts: { readonly atMs: number; }): boolean =>
    peer.beatAtMs !== undefined && opts.atMs - peer.beatAtMs <= MEMBERSHIP_TIMING.livenessTimeoutMs;
