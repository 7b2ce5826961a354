import type { Candidate } from "./candidate.js";
import type { SelectionInput } from "./selection-input.js";
import { SelectionPolicy } from "./selection-policy.js";

/** Chooses each candidate with equal probability. */
export class Random extends SelectionPolicy {
    protected override choose(available: readonly Candidate[], input: SelectionInput): Candidate | undefined {
        return available[Math.floor(input.random * available.length)];
    }
}
