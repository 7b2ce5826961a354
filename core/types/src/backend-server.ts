/** A backend server as its newest registration describes it. */
export interface BackendServer {
    readonly instanceId: string;
    /** Start of its process. A new value under the same id is a new process, which knows nothing of earlier requests. */
    readonly startedAtUnixMs: number;
    readonly service: string;
    readonly address: string;
    readonly availabilityZone: string;
    readonly slots: number;
    readonly isDraining: boolean;
    /** How much longer the server is slow after its start, counted from when the registration was written. */
    readonly warmUpMs: number;
}
