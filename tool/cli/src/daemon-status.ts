import type { ClassReport } from "./class-report.js";

/** Answer of a daemon to `status.get`. */
export interface DaemonStatus {
    readonly vmId: string;
    readonly incarnation: string;
    readonly configurationVersion: number | undefined;
    readonly ready: boolean;
    /** Why the daemon is not ready. */
    readonly reasons: readonly string[];
    readonly classes: readonly ClassReport[];
    readonly sharesOwned: number;
    readonly logAvailable: boolean;
    readonly probesInLastSecond: number;
    /** Measuring budget of the whole fleet. */
    readonly probesPerSecond: number | undefined;
    /** Which information is stale, in words. */
    readonly stale: readonly string[];
}
