/** Request under which backend servers have ended. */
export interface SuspectFinding {
    readonly fingerprint: string;
    /** Time since a server ran it to its end; Infinity if that is not known. */
    readonly completionAgeMs: number;
    readonly crashes: readonly CrashFinding[];
}

interface CrashFinding {
    readonly instanceId: string;
    /** Tells the starts of a server under the same id apart. */
    readonly startedAtUnixMs: number;
    readonly ageMs: number;
}
