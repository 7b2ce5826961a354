import { reportTrusts } from "./report-trusts.js";
import { rollingCounts } from "./rolling-counts.js";
import type { ServiceState } from "./service-state.js";

/** Creates a service without backend servers, classes or requests. */
export const createService = (name: string): ServiceState => ({
    name,
    revision: -1,
    servers: [],
    serverIndexes: new Map(),
    classes: new Map(),
    reserveSlot: false,
    queue: { urgent: [], normal: [], patient: [] },
    inFlightIds: [],
    patientInFlight: 0,
    patientLimit: 1,
    arrivals: rollingCounts.empty,
    completions: rollingCounts.empty,
    retries: rollingCounts.empty,
    hedgeableArrivals: rollingCounts.empty,
    hedges: rollingCounts.empty,
    lastSequence: 0,
    selectionCount: 0,
    medianLatencyMs: undefined,
    medianComputedAtMs: -Infinity,
    reportsCountAnsweredRequest: true,
    reportTrust: reportTrusts.initial,
    pressureLevel: 0,
    peerPressureLevel: 0,
    peerPressureAtMs: -Infinity,
    nextEvaluationAtMs: -Infinity,
    wakeAtMs: Infinity,
});
