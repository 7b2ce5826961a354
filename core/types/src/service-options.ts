/** Configuration of one service. */
export interface ServiceOptions {
    readonly name: string;
    readonly healthPath: string;
    /** Maximum number of connections that one backend server accepts from all VMs together. */
    readonly maxConnections: number;
    /** Requests that one cold server tolerates from all VMs together. Undefined if there is no limit. */
    readonly coldRequestsPerSecond?: number | undefined;
}
