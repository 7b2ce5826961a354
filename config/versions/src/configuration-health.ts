/** What the daemon knows about the age and the completeness of its configuration. */
export interface ConfigurationHealth {
    readonly version: number | undefined;
    /** Whether the log or a peer has confirmed the version since the start or the last pause. */
    readonly isConfirmed: boolean;
    /** Whether a daemon may report ready as far as its configuration is concerned. */
    readonly isReady: boolean;
    readonly isLogAvailable: boolean;
    readonly logUnavailableForMs: number | undefined;
    /** Time since the end of the stream was last reached. */
    readonly caughtUpAgoMs: number | undefined;
    /** False when retention removed unread records and no snapshot has replaced them. */
    readonly isComplete: boolean;
    /** What is missing or stale, in words; empty when all is well. */
    readonly reasons: readonly string[];
}
