/** Token bucket of a server's limit. */
export interface PermitBucket {
    /** Permits available at `filledAtMs`. */
    readonly permits: number;
    readonly filledAtMs: number;
}
