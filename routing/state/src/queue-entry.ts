/** Entry of a request in the queue of its service. */
export interface QueueEntry {
    readonly requestId: string;
    readonly deadlineAtMs: number;
    readonly sequence: number;
}
