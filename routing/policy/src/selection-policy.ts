import type { Candidate } from "./candidate.js";
import type { SelectionInput } from "./selection-input.js";

// Below half a request, it is more likely than not that no other daemon has a request there.
const IDLE_LOAD_THRESHOLD = 0.5;

/** Chooses a backend server for an attempt. Policies are stateless, so that tests can reproduce a choice. */
export abstract class SelectionPolicy {
    /** Returns a candidate, or undefined when the request has to wait. */
    select(input: SelectionInput): Candidate | undefined {
        const available = input.candidates.filter(candidate => this.hasRoom(candidate, input));
        return available.length === 0 ? undefined : this.choose(available, input);
    }

    /** Chooses among the candidates that can take one more request of this daemon; there is at least one. */
    protected abstract choose(available: readonly Candidate[], input: SelectionInput): Candidate | undefined;

    private hasRoom(candidate: Candidate, input: SelectionInput): boolean {
        const limit = candidate.cold || candidate.suspect ? 1 : candidate.slots;
        if (candidate.ownInFlight >= limit) {
            return false;
        }
        // Where load reports are not trusted, only the limit on patient requests keeps room for urgent ones: an average
        // estimate would block patient requests permanently.
        if (input.urgency !== "patient" || !input.reserveSlot) {
            return true;
        }
        return candidate.slots > 1
            && candidate.ownInFlight + candidate.trustedOthersLoad < candidate.slots - 2 + IDLE_LOAD_THRESHOLD;
    }
}
