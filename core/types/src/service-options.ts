/** Configuration of one service. */
export interface ServiceOptions {
    readonly name: string;
    readonly healthPath: string;
    /** Maximum number of connections that one backend server accepts from all VMs together. */
    readonly maxConnections: number;
}
