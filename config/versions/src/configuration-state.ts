import type { AcceptedConfiguration } from "@marigoldstall/core.types";
import type { Fold } from "./fold.js";

/** State of the configuration slice. */
export interface ConfigurationState {
    /** Highest era of the log that a read reported. It rises with each restore of the log from an older copy. */
    readonly era: number;
    readonly fold: Fold;
    /**
     * Version from before the last restore of the log, which the fold may lack. It stays in force until the fold has a
     * newer one.
     */
    readonly retained: AcceptedConfiguration | undefined;
    /** When the fold last reached the end of the stream. */
    readonly caughtUpAtMs: number | undefined;
    readonly firstCaughtUpAtMs: number | undefined;
    /** Whether the last read reached the end of the stream. */
    readonly isCaughtUp: boolean;
    readonly logUnavailableSinceMs: number | undefined;
    /** When the log or a peer last confirmed the version. Undefined since the start or a pause until then. */
    readonly confirmedAtMs: number | undefined;
    /** A read sent before this time, that of the start or the last pause, does not confirm the version. */
    readonly confirmationCutoffMs: number;
    readonly lastTick: { readonly atMs: number; readonly wallMs: number; } | undefined;
    readonly pendingFetch: { readonly peerAddress: string; readonly startedAtMs: number; } | undefined;
    /** When a newly written snapshot was last read. */
    readonly snapshotSeenAtMs: number | undefined;
    readonly snapshotRequestedAtMs: number | undefined;
}
