import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";

/** Notes that the registrations were current at a time, and with that the end of an outage. */
export const confirmView = (
    state: ViewState,
    opts: { readonly atMs: number; readonly confirmedAtMs: number; },
): ViewState => {
    const { registrationReading: reading } = state;
    if (opts.confirmedAtMs <= reading.confirmedAtMs) {
        return state;
    }
    const gapMs = opts.confirmedAtMs - reading.confirmedAtMs;
    const endsOutage = gapMs >= VIEW_LIMITS.outageMs && reading.confirmedAtMs !== -Infinity;
    return {
        ...state,
        outageEndedAtMs: endsOutage ? opts.atMs : state.outageEndedAtMs,
        registrationReading: { ...reading, confirmedAtMs: opts.confirmedAtMs },
    };
};
