import type { EntrySettings, Tenant } from "@marigoldstall/core.types";

export interface ModelOptions {
    readonly vmCount: number;
    readonly zones?: number;
    readonly serverCount?: number;
    readonly maxProbesPerSecond?: number;
    /** One-way delay of datagrams. */
    readonly delayMs?: number;
    readonly slotsPerServer?: number;
    /** Settings of all VMs that differ from the usual ones. */
    readonly settings?: Partial<EntrySettings>;
    /** Tenants of the first configuration by API key. Without them, requests need no key. */
    readonly tenantsByKey?: ReadonlyMap<string, Tenant>;
    /** Requests per second that a cold server tolerates, within the bounds of the customers. */
    readonly coldRequestsPerSecond?: number;
}
