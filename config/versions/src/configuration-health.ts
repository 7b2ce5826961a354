/** Age and completeness of the daemon's configuration. */
export interface ConfigurationHealth {
    readonly version: number | undefined;
    /** Whether the log or a peer has confirmed the version since the start or the last pause. */
    readonly isConfirmed: boolean;
    /** Whether the configuration allows the daemon to report ready. */
    readonly isReady: boolean;
    readonly isLogAvailable: boolean;
    readonly logUnavailableForMs: number | undefined;
    /** Time since the end of the stream was last reached. */
    readonly sinceCaughtUpMs: number | undefined;
    /** False when retention removed unread records that no snapshot has covered since. */
    readonly isComplete: boolean;
    /** Describes what is missing or stale. Empty for a healthy configuration. */
    readonly reasons: readonly string[];
}
