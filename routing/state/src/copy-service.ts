import type { Mutable } from "./mutable.js";
import type { ServiceState } from "./service-state.js";

/** Copies field by field: V8 takes up to 3 us for `{ ...service }` when the source is itself a spread copy. */
export const copyService = (service: ServiceState, opts: { readonly revision: number; }): Mutable<ServiceState> => ({
    name: service.name,
    revision: opts.revision,
    servers: service.servers,
    serverIndexes: service.serverIndexes,
    classes: service.classes,
    reserveSlot: service.reserveSlot,
    queue: service.queue,
    inFlightIds: service.inFlightIds,
    patientInFlight: service.patientInFlight,
    patientLimit: service.patientLimit,
    arrivals: service.arrivals,
    completions: service.completions,
    retries: service.retries,
    hedgeableArrivals: service.hedgeableArrivals,
    hedges: service.hedges,
    lastSequence: service.lastSequence,
    selectionCount: service.selectionCount,
    medianLatencyMs: service.medianLatencyMs,
    medianComputedAtMs: service.medianComputedAtMs,
    reportsCountAnsweredRequest: service.reportsCountAnsweredRequest,
    reportTrust: service.reportTrust,
    pressureLevel: service.pressureLevel,
    peerPressureLevel: service.peerPressureLevel,
    peerPressureAtMs: service.peerPressureAtMs,
    nextEvaluationAtMs: service.nextEvaluationAtMs,
    wakeAtMs: service.wakeAtMs,
});
