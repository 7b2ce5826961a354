import type { BackendServerReport } from "./backend-server-report.js";
import type { ClassReport } from "./class-report.js";

/** Response of a daemon to `status.get`. */
export interface DaemonStatus {
    readonly vmId: string;
    readonly incarnation: string;
    readonly configurationVersion: number | undefined;
    readonly ready: boolean;
    readonly reasonsNotReady: readonly string[];
    /** Backend servers in any condition other than `usable` at this daemon. */
    readonly backendServers: readonly BackendServerReport[];
    readonly classes: readonly ClassReport[];
    readonly sharesOwned: number;
    readonly logAvailable: boolean;
    readonly probesInLastSecond: number;
    /** Probe budget of the whole fleet. */
    readonly probesPerSecond: number | undefined;
    /** Descriptions of the information that is stale. */
    readonly stale: readonly string[];
}
