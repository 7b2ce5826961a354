import type { OwnedShare } from "./owned-share.js";

/**
 * Events of the measuring slice. `wallMs` decides whether a share may still be used; `atMs` spaces the probes.
 */
export type MeasuringEvent =
    | { readonly type: "shares-changed"; readonly atMs: number; readonly shares: readonly OwnedShare[]; }
    | { readonly type: "budget-changed"; readonly atMs: number; readonly probesPerSecond: number; }
    | {
        readonly type: "tick";
        readonly atMs: number;
        readonly wallMs: number;
        /** Backend servers that may be probed, the one with the oldest information first. */
        readonly candidates: readonly string[];
    };
