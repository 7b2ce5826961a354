/** One request: its arrival, and the time that it takes on a server without a fault. */
export interface CentralQueueRequest {
    readonly arrivedAtMs: number;
    readonly serviceMs: number;
}
