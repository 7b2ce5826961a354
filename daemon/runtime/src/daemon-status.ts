import type { BackendServerStatus, ClassStatus } from "@marigoldstall/routing.state";

/** Answer of `status.get`. */
export interface DaemonStatus {
    readonly vmId: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
    /** Undefined while there is no configuration. */
    readonly configurationVersion: number | undefined;
    readonly configurationDigest: string | undefined;
    readonly ready: boolean;
    readonly reasonsNotReady: readonly string[];
    readonly stopping: boolean;
    readonly classes: readonly ClassStatus[];
    /** Those that are not simply usable, at most 100. */
    readonly backendServers: readonly BackendServerStatus[];
    readonly members: readonly string[];
    readonly sharesOwned: number;
    readonly sharesGuarded: number;
    readonly sharesWithoutTerm: number;
    readonly logAvailable: boolean;
    readonly probesInLastSecond: number;
    /** Limit of the whole fleet. */
    readonly probesPerSecond: number;
    readonly requestsInFlight: number;
    /** Which information is stale, in words; empty when none is. */
    readonly stale: readonly string[];
}
