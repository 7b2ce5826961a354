import type { KnownVm } from "./known-vm.js";
import type { VmInfo } from "./vm-info.js";

/** Updates that are queued for the next message. */
interface Outbox {
    /** Latest load report by instance id of the backend server. */
    readonly loads: ReadonlyMap<string, OutboxLoad>;
    readonly sentRequests: readonly OutboxSentRequest[];
    /** When the oldest update was queued, or undefined if the outbox is empty. */
    readonly queuedSinceMs: number | undefined;
}

interface OutboxLoad {
    readonly inFlight: number;
    readonly queued: number;
    readonly slots: number;
    readonly slownessPercent: number | undefined;
    readonly measuredAtMs: number;
    /** Whether the update originates in this VM's zone and must be forwarded to the hubs of the other zones. */
    readonly isFromOwnZone: boolean;
}

interface OutboxSentRequest {
    readonly instanceId: string;
    readonly sentAtMs: number;
    readonly isFromOwnZone: boolean;
}

/** State of the hub reducer. */
export interface HubState {
    readonly self: VmInfo;
    readonly startedAtMs: number;
    readonly vms: ReadonlyMap<string, KnownVm>;
    readonly isHub: boolean;
    readonly outbox: Outbox;
    readonly lastSentAtMs: number;
    readonly vmListSentAtMs: number;
    /** Registration changes below this offset were repeated long enough and are left out of messages. */
    readonly announcedOffset: number;
    /** Value that `announcedOffset` takes when the current repeat window ends. */
    readonly repeatWindowOffset: number;
    readonly repeatWindowStartedAtMs: number;
}
