/** Options of {@link RpcClient}. */
export interface RpcClientOptions {
    readonly key: string;
    /** Wall clock in Unix milliseconds. */
    readonly now?: () => number;
    readonly maxConnectionsPerPeer?: number;
}
