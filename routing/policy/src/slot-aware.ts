import type { Candidate } from "./candidate.js";
import type { SelectionInput } from "./selection-input.js";
import { SelectionPolicy } from "./selection-policy.js";

// Candidates whose costs differ by less than this are equal: estimates are not exact enough to tell them apart,
// and always taking the lowest would send all daemons to the same backend server.
const EQUAL_COST_RANGE = 0.05;
// Cost of leaving the availability zone: a round trip of 3 ms beside service times of some tens of milliseconds.
const OTHER_ZONE_COST = 0.1;
// Requests queued at a backend server for which urgency no longer counts: beyond this, a request waits here.
const QUEUE_ALLOWANCE = { urgent: 1.5, normal: 1, patient: 0.5 };

const costOf = (candidate: Candidate): number => {
    const load = candidate.ownInFlight + candidate.othersLoad;
    const held = candidate.cold || candidate.suspect ? 1 : 0;
    return candidate.relativeLatency * (1 + load / candidate.slots) + held + (candidate.sameZone ? 0 : OTHER_ZONE_COST);
};

/** Takes the candidate with the lowest expected latency by estimated load, latency and zone; waits when all are full. */
export class SlotAware extends SelectionPolicy {
    protected override choose(available: readonly Candidate[], input: SelectionInput): Candidate | undefined {
        const allowance = QUEUE_ALLOWANCE[input.urgency];
        const open = available.filter(candidate =>
            input.overdue
            || candidate.ownInFlight + candidate.trustedOthersLoad < candidate.slots + allowance
        );
        const lowest = Math.min(...open.map(costOf));
        const equals = open.filter(candidate => costOf(candidate) <= lowest + EQUAL_COST_RANGE);
        return equals[Math.floor(input.random * equals.length)];
    }
}
