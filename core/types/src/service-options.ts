/** What the configuration says of one service. */
export interface ServiceOptions {
    readonly name: string;
    readonly healthPath: string;
    /** Connections that one backend server accepts from all VMs together. */
    readonly maxConnections: number;
}
