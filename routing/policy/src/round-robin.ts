import type { Candidate } from "./candidate.js";
import type { SelectionInput } from "./selection-input.js";
import { SelectionPolicy } from "./selection-policy.js";

/** Chooses the candidates in turn. */
export class RoundRobin extends SelectionPolicy {
    protected override choose(available: readonly Candidate[], input: SelectionInput): Candidate | undefined {
        const availableAddresses = new Set(available.map(candidate => candidate.address));
        // The cursor counts all candidates, so that a full one does not shift the turns of the others.
        for (let offset = 0; offset < input.candidates.length; offset += 1) {
            const candidate = input.candidates[(input.cursor + offset) % input.candidates.length];
            if (candidate !== undefined && availableAddresses.has(candidate.address)) {
                return candidate;
            }
        }
        return undefined;
    }
}
