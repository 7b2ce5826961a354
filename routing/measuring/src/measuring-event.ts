import type { OwnedShare } from "./owned-share.js";

/** Events of the measuring reducer. `wallMs` determines whether a share is usable; `atMs` spaces the probes. */
export type MeasuringEvent =
    | { readonly type: "shares-changed"; readonly atMs: number; readonly shares: readonly OwnedShare[]; }
    | { readonly type: "budget-changed"; readonly atMs: number; readonly probesPerSecond: number; }
    | {
        readonly type: "tick";
        readonly atMs: number;
        readonly wallMs: number;
        /** Addresses of backend servers that may be probed, the one with the oldest load report first. */
        readonly candidates: readonly string[];
    };
