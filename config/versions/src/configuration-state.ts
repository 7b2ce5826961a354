import type { Fold } from "./fold.js";

/** State of the configuration slice. */
export interface ConfigurationState {
    readonly fold: Fold;
    /** When the fold last reached the end of the stream. */
    readonly caughtUpAtMs: number | undefined;
    readonly firstCaughtUpAtMs: number | undefined;
    /** Whether the last read reached the end of the stream. */
    readonly isCaughtUp: boolean;
    readonly logUnavailableSinceMs: number | undefined;
    /** When the log or a peer last confirmed the version; undefined when it is in doubt. */
    readonly confirmedAtMs: number | undefined;
    /** Reads sent before this time do not confirm the version. */
    readonly inDoubtSinceMs: number;
    readonly lastTick: { readonly atMs: number; readonly wallMs: number; } | undefined;
    readonly fetch: { readonly peerAddress: string; readonly startedAtMs: number; } | undefined;
    /** When a snapshot was seen that had just been written. */
    readonly snapshotSeenAtMs: number | undefined;
    readonly snapshotRequestedAtMs: number | undefined;
}
