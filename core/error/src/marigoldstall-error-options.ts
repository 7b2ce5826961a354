/** Options of {@link MarigoldstallError}. */
export interface MarigoldstallErrorOptions {
    /** Stable code without the `ERR_MARIGOLDSTALL_` prefix. */
    readonly code: string;
    readonly message: string;
    /** What was being done when the error arose. */
    readonly step: string;
    /** Address or name of the other side, or of the file that was read. */
    readonly peer?: string | undefined;
    /** What a person can do about it. */
    readonly hint?: string | undefined;
    readonly cause?: unknown;
}
