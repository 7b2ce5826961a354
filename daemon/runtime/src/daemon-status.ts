import type { BackendServerStatus, ClassStatus } from "@marigoldstall/routing.state";

/** Result of `status.get`. */
export interface DaemonStatus {
    readonly vmId: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
    /** Undefined until there is a configuration. */
    readonly configurationVersion: number | undefined;
    readonly configurationDigest: string | undefined;
    readonly ready: boolean;
    readonly reasonsNotReady: readonly string[];
    readonly stopping: boolean;
    readonly classes: readonly ClassStatus[];
    /** Backend servers in any condition other than `usable`, at most 100. */
    readonly backendServers: readonly BackendServerStatus[];
    readonly members: readonly string[];
    readonly sharesOwned: number;
    readonly sharesGuarded: number;
    readonly sharesWithoutTerm: number;
    readonly logAvailable: boolean;
    readonly probesInLastSecond: number;
    /** Probe limit of the whole fleet. */
    readonly probesPerSecond: number;
    readonly requestsInFlight: number;
    /** Descriptions of stale information. */
    readonly stale: readonly string[];
}
