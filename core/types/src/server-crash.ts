/** End of a backend server while it had a request. */
export interface ServerCrash {
    readonly instanceId: string;
    /** Tells the starts of a server under the same id apart. */
    readonly startedAtUnixMs: number;
    readonly atMs: number;
}
