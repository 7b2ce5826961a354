import type { Candidate } from "./candidate.js";
import type { SelectionInput } from "./selection-input.js";
import { SelectionPolicy } from "./selection-policy.js";

// Candidates whose costs differ by no more than this are treated as equal: the estimates are not accurate enough to
// tell them apart, and always choosing the lowest would send all daemons to the same backend server.
const COST_TOLERANCE = 0.05;
// Cost of crossing availability zones: a round trip of 3 ms, compared to service times of tens of milliseconds.
const OTHER_ZONE_COST = 0.1;
// Number of requests that may be queued at a backend server, where urgency no longer counts, before a request of this
// urgency waits in the daemon instead.
const QUEUE_ALLOWANCE = { urgent: 1.5, normal: 1, patient: 0.5 };

const costOf = (candidate: Candidate): number => {
    const load = candidate.ownInFlight + candidate.othersLoad;
    const penalty = candidate.cold || candidate.suspect ? 1 : 0;
    return candidate.relativeLatency * (1 + load / candidate.slots) + penalty
        + (candidate.sameZone ? 0 : OTHER_ZONE_COST);
};

/** Chooses the candidate with the lowest expected latency by load, latency and zone; waits when all are full. */
export class SlotAware extends SelectionPolicy {
    protected override choose(available: readonly Candidate[], input: SelectionInput): Candidate | undefined {
        const allowance = QUEUE_ALLOWANCE[input.urgency];
        const eligible = available.filter(candidate =>
            input.overdue
            || candidate.ownInFlight + candidate.trustedOthersLoad < candidate.slots + allowance
        );
        const lowest = Math.min(...eligible.map(costOf));
        const equals = eligible.filter(candidate => costOf(candidate) <= lowest + COST_TOLERANCE);
        return equals[Math.floor(input.random * equals.length)];
    }
}
