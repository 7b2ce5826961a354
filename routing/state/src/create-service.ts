import { reportTrusts } from "./report-trusts.js";
import { rollingCounts } from "./rolling-counts.js";
import type { ServiceState } from "./service-state.js";

/** A service without backend servers, classes or requests. */
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
    hedgeable: rollingCounts.empty,
    hedges: rollingCounts.empty,
    sequence: 0,
    selections: 0,
    medianLatencyMs: undefined,
    medianAtMs: -Infinity,
    reportsCountAnswered: true,
    reportTrust: reportTrusts.initial,
    pressureLevel: 0,
    peerPressureLevel: 0,
    peerPressureAtMs: -Infinity,
    nextEvaluationAtMs: -Infinity,
    wakeAtMs: Infinity,
});
