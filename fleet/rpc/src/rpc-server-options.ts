import type { RpcRefusal } from "./rpc-refusal.js";

/** Options of {@link RpcServer}. */
export interface RpcServerOptions {
    readonly key: string;
    /** Handlers by method name; the result is the JSON answer. A thrown error becomes a JSON-RPC error. */
    readonly methods: Readonly<Record<string, (params: unknown) => unknown>>;
    /** Wall clock in Unix milliseconds. */
    readonly now?: () => number;
    /** Monotonic clock that times the nonce cache. */
    readonly monotonicNow?: () => number;
    readonly onRefused?: (refusal: RpcRefusal) => void;
}
