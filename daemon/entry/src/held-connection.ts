/** A caller's connection, as far as its descriptor may be needed for another. */
export interface HeldConnection {
    /**
     * - `closing`: answered, and only read until the caller closes its side.
     * - `silent`: without a byte.
     * - `head`: with a part of a request's head.
     * - `receiving`: with a part of a request's body.
     * - `idle`: between two requests.
     * - `busy`: with a request that was passed on, or a response that is being written.
     */
    readonly phase: "closing" | "silent" | "head" | "receiving" | "idle" | "busy";
    /** When bytes were last received, or a request or response was completed. */
    readonly progressAtMs: number;
}
