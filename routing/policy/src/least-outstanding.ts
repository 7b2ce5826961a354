import type { Candidate } from "./candidate.js";
import type { SelectionInput } from "./selection-input.js";
import { SelectionPolicy } from "./selection-policy.js";

/** Chooses the candidate with the fewest in-flight requests of this daemon; ties are broken at random. */
export class LeastOutstanding extends SelectionPolicy {
    protected override choose(available: readonly Candidate[], input: SelectionInput): Candidate | undefined {
        const fewest = Math.min(...available.map(candidate => candidate.ownInFlight));
        const equals = available.filter(candidate => candidate.ownInFlight === fewest);
        return equals[Math.floor(input.random * equals.length)];
    }
}
