/** What a backend server says of itself. */
export interface RegisteredServer {
    readonly instanceId: string;
    readonly service: string;
    readonly address: string;
    readonly availabilityZone: string;
    readonly slots: number;
    readonly isDraining: boolean;
}
