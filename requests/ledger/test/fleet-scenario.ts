import type { FleetFault } from "./fleet-fault.js";

/** Input of a simulation. The simulation is deterministic for a given scenario. */
export interface FleetScenario {
    readonly seed: number;
    readonly daemonCount: number;
    readonly keyCount: number;
    readonly durationMs: number;
    readonly retentionMs: number;
    /** Probability that a message is lost, and that it is duplicated, when no fault is active. */
    readonly messageLoss: number;
    readonly clockSkewMs: number;
    /** Upper limit of the append delay while the log is lossy. */
    readonly maxAppendDelayMs: number;
    /** Enables caller faults: wrong clocks, different content for the same key, repeated requests, and disconnects. */
    readonly callerFaults: boolean;
    /** Time of the first key; before it, shares may have no owner. */
    readonly keysFromMs: number;
    readonly faults: readonly FleetFault[];
}
