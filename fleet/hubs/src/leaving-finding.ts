/** Backend server that has said that it is about to end. */
export interface LeavingFinding {
    readonly instanceId: string;
    /** Tells the starts of a server under the same id apart. */
    readonly startedAtUnixMs: number;
}
