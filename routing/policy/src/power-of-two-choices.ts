import type { Candidate } from "./candidate.js";
import type { SelectionInput } from "./selection-input.js";
import { SelectionPolicy } from "./selection-policy.js";

/** Draws two different candidates at random and chooses the one with the lower estimated load. */
export class PowerOfTwoChoices extends SelectionPolicy {
    protected override choose(available: readonly Candidate[], input: SelectionInput): Candidate | undefined {
        const scaled = input.random * available.length;
        const firstIndex = Math.floor(scaled);
        const first = available[firstIndex];
        if (first === undefined || available.length === 1) {
            return first;
        }
        // The fractional part left by the first draw is itself uniform in [0, 1).
        const step = 1 + Math.floor((scaled - firstIndex) * (available.length - 1));
        const second = available[(firstIndex + step) % available.length];
        if (second === undefined) {
            return first;
        }
        return second.ownInFlight + second.othersLoad < first.ownInFlight + first.othersLoad ? second : first;
    }
}
