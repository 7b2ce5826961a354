/**
 * Events of the measuring slice. `wallMs` decides whether a share may still be used; `atMs` spaces the probes.
 */
export type MeasuringEvent =
    | {
        readonly type: "shares-changed";
        readonly atMs: number;
        /** Shares that this daemon owns, each with the wall-clock interval in which its probe units may be spent. */
        readonly shares: readonly {
            readonly share: number;
            readonly usableFromMs: number;
            readonly usableUntilMs: number;
        }[];
    }
    | { readonly type: "budget-changed"; readonly atMs: number; readonly probesPerSecond: number; }
    | {
        readonly type: "tick";
        readonly atMs: number;
        readonly wallMs: number;
        /** Backend servers that may be probed, the one with the oldest information first. */
        readonly candidates: readonly string[];
    };
