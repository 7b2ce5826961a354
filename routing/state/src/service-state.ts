import type { BackendServerState } from "./backend-server-state.js";
import type { ClassState } from "./class-state.js";
import type { ReportTrust } from "./report-trust.js";
import type { RequestQueue } from "./request-queue.js";
import type { RollingCount } from "./rolling-count.js";

/** Routing state of one service. Nothing in it depends on other services. */
export interface ServiceState {
    readonly name: string;
    /** Revision of the state in which this copy was made. */
    readonly revision: number;
    readonly servers: readonly BackendServerState[];
    /** Index in `servers` by address. */
    readonly serverIndexes: ReadonlyMap<string, number>;
    readonly classes: ReadonlyMap<string, ClassState>;
    /** Whether a class of the service is more urgent than patient work. */
    readonly reserveSlot: boolean;
    readonly queue: RequestQueue;
    /** Requests with an attempt in flight and no response yet. */
    readonly inFlightIds: readonly string[];
    readonly patientInFlight: number;
    readonly patientLimit: number;
    readonly arrivals: RollingCount;
    readonly completions: RollingCount;
    readonly retries: RollingCount;
    readonly hedgeable: RollingCount;
    readonly hedges: RollingCount;
    readonly sequence: number;
    readonly selections: number;
    /** Median of the backend servers' average latencies. */
    readonly medianLatencyMs: number | undefined;
    readonly medianAtMs: number;
    /** Whether the load report on a response counts the request that it answers. */
    readonly reportsCountAnswered: boolean;
    readonly reportTrust: ReportTrust;
    readonly pressureLevel: number;
    readonly peerPressureLevel: number;
    readonly peerPressureAtMs: number;
    readonly nextEvaluationAtMs: number;
    /** Lower limit of the time at which a `tick` has something to do here. */
    readonly wakeAtMs: number;
}
