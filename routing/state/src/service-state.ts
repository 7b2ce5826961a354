import type { BackendServerState } from "./backend-server-state.js";
import type { ClassState } from "./class-state.js";
import type { ReportTrust } from "./report-trust.js";
import type { RequestQueue } from "./request-queue.js";
import type { RollingCount } from "./rolling-count.js";

/** Routing state of one service, independent of other services. */
export interface ServiceState {
    readonly name: string;
    /** Revision of the state for which this copy was made. */
    readonly revision: number;
    readonly servers: readonly BackendServerState[];
    /** Index in `servers` by address. */
    readonly serverIndexes: ReadonlyMap<string, number>;
    readonly classes: ReadonlyMap<string, ClassState>;
    /** Whether the service has a class that is not patient, for which one slot of each backend server is reserved. */
    readonly reserveSlot: boolean;
    readonly queue: RequestQueue;
    /** Requests with an attempt in flight and no response yet. */
    readonly inFlightIds: readonly string[];
    readonly patientInFlight: number;
    readonly patientLimit: number;
    readonly arrivals: RollingCount;
    readonly completions: RollingCount;
    readonly retries: RollingCount;
    readonly hedgeableArrivals: RollingCount;
    readonly hedges: RollingCount;
    readonly lastSequence: number;
    readonly selectionCount: number;
    /** Median of the backend servers' average latencies. */
    readonly medianLatencyMs: number | undefined;
    readonly medianComputedAtMs: number;
    /** Whether the load report of a response counts the request that the response answers. */
    readonly reportsCountAnsweredRequest: boolean;
    readonly reportTrust: ReportTrust;
    readonly pressureLevel: number;
    readonly peerPressureLevel: number;
    readonly peerPressureAtMs: number;
    readonly nextEvaluationAtMs: number;
    /** Earliest time at which a `tick` can have work to do for this service. */
    readonly wakeAtMs: number;
}
