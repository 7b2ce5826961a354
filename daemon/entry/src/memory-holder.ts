/** What holds a part of the memory for callers. */
export interface MemoryHolder {
    /**
     * - `receiving`: the body of a request that has not been read completely, and so was not passed on.
     * - `forwarded`: the body of a request that was read completely.
     * - `response`: the body of a server's response that is being received, or that waits for its turn.
     * - `writing`: a response that its caller is reading.
     */
    readonly phase: "receiving" | "forwarded" | "response" | "writing";
    readonly heldBytes: number;
    readonly startedAtMs: number;
    /** When bytes were last received from the caller, or taken by it. */
    readonly progressAtMs: number;
}
