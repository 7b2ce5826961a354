import type { RequestLimits } from "./request-limits.js";

/** Settings of `marigoldstalld`, with defaults filled in. Addresses consist of an IP address and a port. */
export interface DaemonSettings {
    readonly vm: { readonly id: string; readonly region: string; readonly availabilityZone: string; };
    readonly listen: { readonly caller: string; readonly control: string; readonly operator: string; };
    readonly platform: { readonly log: string; readonly vmList: string; readonly logRetentionMs: number; };
    readonly security: { readonly controlKey: string; };
    readonly limits: RequestLimits;
    readonly stop: { readonly noticeMs: number; };
}
