/** How much a process can hold for callers. */
export interface CallerCapacity {
    /** Bodies, partial heads and responses. */
    readonly memoryBytes: number;
    /** All buffers of the process, including those that are no longer referenced. */
    readonly bufferBytes: number;
    readonly maxConnections: number;
    /** Requests without a complete response. */
    readonly maxRequests: number;
}
