/** Start of a server that has said that it is about to end. */
export interface LeavingStart {
    readonly startedAtUnixMs: number;
    readonly learnedAtMs: number;
}
