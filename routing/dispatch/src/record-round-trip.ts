import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";

/** Updates the measured round trip to a zone from a preflight check on an open connection. */
export const recordRoundTrip = (draft: DispatchDraft, attempt: AttemptState): void => {
    const zone = draft.server(attempt.instanceId)?.server.availabilityZone;
    if (zone === undefined || !attempt.checkedOnOpenConnection) {
        return;
    }
    const sampleMs = draft.atMs - attempt.startedAtMs;
    const { roundTripMsByZone } = draft.state;
    const knownMs = roundTripMsByZone.get(zone) ?? sampleMs;
    // Waiting in a busy process makes a round trip longer, nothing makes it shorter.
    const weight = sampleMs < knownMs ? 1 : DISPATCH_LIMITS.roundTripWeight;
    draft.update({ roundTripMsByZone: new Map(roundTripMsByZone).set(zone, knownMs + weight * (sampleMs - knownMs)) });
};
