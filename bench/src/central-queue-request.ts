/** Request in the simulation of a central queue. */
export interface CentralQueueRequest {
    readonly arrivedAtMs: number;
    /** Service time on a server that is not slowed down. */
    readonly serviceTimeMs: number;
}
