/** Registration of a backend server. */
export interface RegisteredServer {
    readonly instanceId: string;
    readonly service: string;
    readonly address: string;
    readonly availabilityZone: string;
    readonly slots: number;
    readonly isDraining: boolean;
}
