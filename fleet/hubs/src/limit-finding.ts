/** Limit on the requests that a backend server takes from all VMs together, as it stated last. */
export interface LimitFinding {
    readonly instanceId: string;
    /** Tells the starts of a server under the same id apart. */
    readonly startedAtUnixMs: number;
    /** Undefined if the server states no limit any longer. */
    readonly perSecond: number | undefined;
    /** Time since the server stated it. */
    readonly ageMs: number;
}
