import type { BackendServerReport } from "./backend-server-report.js";
import type { ClassReport } from "./class-report.js";

/** Answer of a daemon to `status.get`. */
export interface DaemonStatus {
    readonly vmId: string;
    readonly incarnation: string;
    readonly configurationVersion: number | undefined;
    readonly ready: boolean;
    /** Why the daemon is not ready. */
    readonly reasonsNotReady: readonly string[];
    /** Backend servers that are not simply usable, as this daemon sees them. */
    readonly backendServers: readonly BackendServerReport[];
    readonly classes: readonly ClassReport[];
    readonly sharesOwned: number;
    readonly logAvailable: boolean;
    readonly probesInLastSecond: number;
    /** Measuring budget of the whole fleet. */
    readonly probesPerSecond: number | undefined;
    /** Which information is stale, in words. */
    readonly stale: readonly string[];
}
