import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchState } from "./dispatch-state.js";

/** How much longer the round trip to a zone is than the one within this VM's zone. */
export const selectZoneDetourMs = (
    state: Pick<DispatchState, "availabilityZone" | "roundTripMsByZone">,
    zone: string,
): number => {
    const { availabilityZone, roundTripMsByZone } = state;
    if (zone === availabilityZone) {
        return 0;
    }
    const measuredMs = roundTripMsByZone.get(zone);
    return measuredMs === undefined
        ? DISPATCH_LIMITS.initialCrossZoneRoundTripMs
        : Math.max(0, measuredMs - (roundTripMsByZone.get(availabilityZone) ?? 0));
};
