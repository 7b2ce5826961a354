import type { BackendRecord } from "@marigoldstall-private/backend-server";
import type { CallRecord } from "@marigoldstall-private/caller";
import type { ConfigurationRollout } from "./configuration-rollout.js";

/** Everything recorded in one run of the demonstration, by callers and by backend servers. */
export interface DemoRecord {
    readonly calls: readonly CallRecord[];
    readonly backendRecords: readonly BackendRecord[];
    readonly probesPerSecond: number;
    /** Caller addresses of killed daemons. Calls in progress at that time may get no response. */
    readonly kills: readonly { readonly entry: string; readonly atMs: number; }[];
    readonly stoppedEntry: string;
    /** Exit code or signal of the daemon that was asked to stop. Undefined if it is still running. */
    readonly stoppedExitStatus: number | string | undefined;
    readonly leavingVmId: string;
    readonly configuration: ConfigurationRollout;
}
