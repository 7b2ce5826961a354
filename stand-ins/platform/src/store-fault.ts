/** How the store misbehaves. */
export interface StoreFault {
    readonly kind: "none" | "busy" | "silent" | "reset" | "slow" | "answers-lost";
    /** Addresses of the callers concerned; all of them without it. */
    readonly callers?: readonly string[];
    /** Time that each call takes longer, for `slow`. */
    readonly delayMs?: number;
}
