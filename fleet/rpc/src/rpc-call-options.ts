/** Options of {@link RpcClient.call}. */
export interface RpcCallOptions {
    readonly method: string;
    readonly params: unknown;
    readonly timeoutMs?: number;
}
