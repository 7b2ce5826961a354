/** Fault to inject into the store. */
export interface StoreFault {
    readonly kind: "none" | "busy" | "throttled" | "silent" | "reset" | "slow" | "late-answers" | "answers-lost";
    /** IP addresses of the affected callers; all callers are affected when omitted. */
    readonly callers?: readonly string[];
    /** Delay before each call is processed, for `slow`, and between processing and answer, for `late-answers`. */
    readonly delayMs?: number;
}
