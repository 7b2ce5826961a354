import { confirmReading } from "./confirm-reading.js";
import type { Confirmation } from "./confirmation.js";
import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";

// The silence of servers may not count while the store is away, also for less time than an outage.
const extendWithholding = (withheld: ViewState["withheld"], gapMs: number): ViewState["withheld"] => {
    const { registrationIntervalMs } = VIEW_LIMITS;
    if (withheld.size === 0 || gapMs < 2 * registrationIntervalMs) {
        return withheld;
    }
    return new Map([...withheld].map(([instanceId, one]) => [
        instanceId,
        one.isInUse ? one : { ...one, untilMs: one.untilMs + gapMs - registrationIntervalMs },
    ]));
};

/** Records that the registrations were current at a time, and detects the end of a store outage. */
export const confirmRegistrations = (state: ViewState, opts: {
    readonly atMs: number;
    readonly confirmedAtMs: number;
    readonly confirmation: Confirmation | undefined;
}): ViewState => {
    const before = state.registrationReading;
    const reading = confirmReading(before, opts);
    const gapMs = reading.confirmedAtMs - before.confirmedAtMs;
    const isFirst = before.confirmedAtMs === -Infinity;
    const endsOutage = gapMs >= state.heartbeatMs * VIEW_LIMITS.outageHeartbeats && !isFirst;
    return {
        ...state,
        withheld: isFirst ? state.withheld : extendWithholding(state.withheld, gapMs),
        outageEndedAtMs: endsOutage ? opts.atMs : state.outageEndedAtMs,
        registrationReading: reading,
    };
};
