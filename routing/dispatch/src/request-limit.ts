/** Limit on the requests that a backend server takes from all VMs together, as it stated last. */
export interface RequestLimit {
    /** Undefined if the server states no limit. */
    readonly perSecond: number | undefined;
    readonly statedAtMs: number;
}
