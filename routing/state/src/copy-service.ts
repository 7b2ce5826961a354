import type { Mutable } from "./mutable.js";
import type { ServiceState } from "./service-state.js";

/** Copies by naming each field: V8 takes up to 3 us for `{ ...service }` when the source is itself such a copy. */
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
    hedgeable: service.hedgeable,
    hedges: service.hedges,
    sequence: service.sequence,
    selections: service.selections,
    medianLatencyMs: service.medianLatencyMs,
    medianAtMs: service.medianAtMs,
    reportsCountAnswered: service.reportsCountAnswered,
    reportTrust: service.reportTrust,
    pressureLevel: service.pressureLevel,
    peerPressureLevel: service.peerPressureLevel,
    peerPressureAtMs: service.peerPressureAtMs,
    nextEvaluationAtMs: service.nextEvaluationAtMs,
    wakeAtMs: service.wakeAtMs,
});
