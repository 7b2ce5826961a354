import type { RpcRefusal } from "./rpc-refusal.js";

/** Options of {@link RpcServer}. */
export interface RpcServerOptions {
    readonly key: string;
    /** Handlers by method name. The return value is the JSON-RPC result; a thrown error becomes a JSON-RPC error. */
    readonly methods: Readonly<Record<string, (params: unknown) => unknown>>;
    /** Wall clock in Unix milliseconds. */
    readonly now?: () => number;
    /** Monotonic clock in milliseconds, for the expiry of nonces. */
    readonly monotonicNow?: () => number;
    /** The peer is the address of the caller's socket, if it is still connected. */
    readonly onRefused?: (refusal: RpcRefusal, peer: string | undefined) => void;
}
