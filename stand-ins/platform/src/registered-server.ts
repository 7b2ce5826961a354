/** Registration of a backend server. */
export interface RegisteredServer {
    readonly instanceId: string;
    /** Start time of the server. */
    readonly startedAtUnixMs: number;
    readonly service: string;
    readonly address: string;
    readonly availabilityZone: string;
    readonly slots: number;
    readonly isDraining: boolean;
}
