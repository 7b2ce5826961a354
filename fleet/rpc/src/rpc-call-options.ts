/** Options of one control call. */
export interface RpcCallOptions {
    readonly method: string;
    readonly params: unknown;
    readonly timeoutMs?: number;
}
