/** Options of {@link MarigoldstallError}. */
export interface MarigoldstallErrorOptions {
    /** Stable code without the `ERR_MARIGOLDSTALL_` prefix. */
    readonly code: string;
    readonly message: string;
    /** Operation that failed. */
    readonly step: string;
    /** Address or name of the remote peer, or path of the file that was read. */
    readonly peer?: string | undefined;
    /** How the user can resolve the error. */
    readonly hint?: string | undefined;
    readonly cause?: unknown;
}
