import type { KnownVm } from "./known-vm.js";
import type { VmInfo } from "./vm-info.js";

/** News that wait to be sent. */
interface Outbox {
    /** Loads by backend server, with the time at which they were measured. */
    readonly loads: ReadonlyMap<string, OutboxLoad>;
    readonly sendings: readonly OutboxSending[];
    /** When the oldest of them came; absent when there are none. */
    readonly sinceMs: number | undefined;
}

interface OutboxLoad {
    readonly inFlight: number;
    readonly queued: number;
    readonly slots: number;
    readonly slownessPercent: number | undefined;
    readonly measuredAtMs: number;
    /** Came from this zone, so that the hubs of other zones need it. */
    readonly isOfOwnZone: boolean;
}

interface OutboxSending {
    readonly instanceId: string;
    readonly sentAtMs: number;
    readonly isOfOwnZone: boolean;
}

/** State of the exchange between VMs. */
export interface HubState {
    readonly self: VmInfo;
    readonly startedAtMs: number;
    readonly vms: ReadonlyMap<string, KnownVm>;
    readonly isHub: boolean;
    readonly outbox: Outbox;
    readonly sentAtMs: number;
    readonly vmListSentAtMs: number;
    /** Offsets of registrations that were told to all, and since when the newer ones have been. */
    readonly toldOffset: number;
    readonly tellingOffset: number;
    readonly tellingSinceMs: number;
}
