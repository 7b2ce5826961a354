import { confirmReading } from "./confirm-reading.js";
import type { Confirmation } from "./confirmation.js";
import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";

/** Records that the registrations were current at a time, and detects the end of a store outage. */
export const confirmRegistrations = (state: ViewState, opts: {
    readonly atMs: number;
    readonly confirmedAtMs: number;
    readonly confirmation: Confirmation | undefined;
}): ViewState => {
    const before = state.registrationReading;
    const reading = confirmReading(before, opts);
    const gapMs = reading.confirmedAtMs - before.confirmedAtMs;
    const endsOutage = gapMs >= state.heartbeatMs * VIEW_LIMITS.outageHeartbeats && before.confirmedAtMs !== -Infinity;
    return {
        ...state,
        outageEndedAtMs: endsOutage ? opts.atMs : state.outageEndedAtMs,
        registrationReading: reading,
    };
};
