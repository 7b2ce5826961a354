import type { SoakServerEntry } from "./soak-server-entry.js";

/** A time in which a backend server asked something of its callers. */
export interface DirectivePeriod {
    readonly kind: "limit" | "leaving" | "retry-after";
    readonly entry: SoakServerEntry;
    /** Requests per second, or seconds. */
    readonly value: number;
    readonly startedAtMs: number;
    readonly endedAtMs: number;
    /** Whether the connections to the server had faults meanwhile, which delay requests. */
    readonly hadProxyFault: boolean;
}
