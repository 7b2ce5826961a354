import type { WarmUp } from "@marigoldstall/core.types";
import type { StorePosition } from "@marigoldstall/fleet.view";
import type { KnownVm } from "./known-vm.js";
import type { ServerFailure } from "./server-failure.js";
import type { VmInfo } from "./vm-info.js";

/** Updates that are queued for the next message. */
interface Outbox {
    /** Latest load report by instance id of the backend server. */
    readonly loads: ReadonlyMap<string, OutboxLoad>;
    readonly sentRequests: readonly OutboxSentRequest[];
    readonly failures: readonly ServerFailure[];
    /** Whether the findings changed since they were last sent. */
    readonly hasChangedFindings: boolean;
    /** Whether there are counts of tenants' requests to report. */
    readonly hasChangedUsage: boolean;
    /** When the oldest update was queued, or undefined if the outbox is empty. */
    readonly queuedSinceMs: number | undefined;
}

interface OutboxLoad {
    readonly inFlight: number;
    readonly queued: number;
    readonly slots: number;
    readonly slownessPercent: number | undefined;
    readonly measuredAtMs: number;
    /** What the server stated last about its warm-up. */
    readonly warmUp: WarmUp | undefined;
}

interface OutboxSentRequest {
    readonly instanceId: string;
    readonly sentAtMs: number;
}

/** State of the hub reducer. */
export interface HubState {
    readonly self: VmInfo;
    /** From when on this VM expects to hear a hub: when it found the others, or when it gives up looking for them. */
    readonly expectsHubSinceMs: number;
    readonly hasJoined: boolean;
    readonly vms: ReadonlyMap<string, KnownVm>;
    readonly isHub: boolean;
    /** Updates of this VM, and on a hub those of its members, for the hub or the hubs of the other zones. */
    readonly outbox: Outbox;
    /** When the last heartbeat was sent: by a member to its hub, by a hub to its members. */
    readonly heartbeatSentAtMs: number;
    /** When a hub last sent a heartbeat to the hubs of the other zones. */
    readonly peersInformedAtMs: number;
    readonly vmListSentAtMs: number;
    readonly reconnectTriedAtMs: number;
    /** Number of attempts to reach VMs that are not counted as live. Each attempt is for the next ones. */
    readonly reconnectAttempts: number;
    readonly findingsSentAtMs: number;
    /** Number of live VMs in the fleet according to this VM's hub. */
    readonly reportedFleetSize: number;
    /** How many VMs of each other zone its hub hears, by zone. */
    readonly zoneReach: ReadonlyMap<string, number>;
    /** Registration changes before this position were repeated long enough and are left out of messages. */
    readonly announced: StorePosition | undefined;
    /** Value that `announced` takes when the current repeat window ends. */
    readonly repeatWindowEnd: StorePosition | undefined;
    readonly repeatWindowStartedAtMs: number;
}
