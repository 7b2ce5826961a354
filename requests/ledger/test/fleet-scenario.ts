import type { FleetFault } from "./fleet-fault.js";

/** Input of one simulation. The same scenario always takes the same course. */
export interface FleetScenario {
    readonly seed: number;
    readonly daemonCount: number;
    readonly keyCount: number;
    readonly durationMs: number;
    readonly retentionMs: number;
    /** Share of messages that are lost, and that are repeated, without any fault. */
    readonly messageLoss: number;
    readonly clockSkewMs: number;
    /** Longest delay of an append while the log is lossy. */
    readonly appendDelayMs: number;
    /** Callers' own faults: wrong clocks, other content under the same key, repeats, and going away. */
    readonly callerFaults: boolean;
    /** No keys before this time, so that the shares have owners. */
    readonly keysFromMs: number;
    readonly faults: readonly FleetFault[];
}
