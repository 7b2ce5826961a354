import type { Candidate } from "./candidate.js";
import type { SelectionInput } from "./selection-input.js";

// Half a request: below it, an estimate says that it is more likely that nobody else is there.
const FREE_BELOW_LOAD = 0.5;

/** Chooses a backend server for one attempt. Policies hold no state, so that a choice can be repeated in a test. */
export abstract class SelectionPolicy {
    /** Returns a candidate, or undefined when the request has to wait. */
    select(input: SelectionInput): Candidate | undefined {
        const available = input.candidates.filter(candidate => this.hasRoom(candidate, input));
        return available.length === 0 ? undefined : this.choose(available, input);
    }

    /** Chooses among candidates that have room for one more request of this daemon; there is at least one. */
    protected abstract choose(available: readonly Candidate[], input: SelectionInput): Candidate | undefined;

    private hasRoom(candidate: Candidate, input: SelectionInput): boolean {
        const limit = candidate.cold || candidate.suspect ? 1 : candidate.slots;
        if (candidate.ownInFlight >= limit) {
            return false;
        }
        // Where load reports prove nothing, the limit on patient requests alone has to keep room for urgent ones: an
        // average would block patient work for good.
        if (input.urgency !== "patient" || !input.reserveSlot) {
            return true;
        }
        return candidate.slots > 1
            && candidate.ownInFlight + candidate.trustedOthersLoad < candidate.slots - 2 + FREE_BELOW_LOAD;
    }
}
