import type { Destination } from "@marigoldstall/core.types";

interface PickedDestination {
    readonly destination: Destination;
    readonly credits: readonly number[];
}

/**
 * Smooth weighted round robin: each request credits every destination with its weight, and the destination with the
 * most credit is picked and charged the total weight, so that the shares also hold over short periods. Random initial
 * credits keep the daemons from picking in lockstep.
 */
export const pickDestination = (
    destinations: readonly Destination[],
    opts: { readonly credits: readonly number[] | undefined; readonly random: number; },
): PickedDestination | undefined => {
    const total = destinations.reduce((sum, destination) => sum + destination.weight, 0);
    const initialCredits = destinations.map((destination, index) =>
        destination.weight * ((opts.random * (index + 1) * destinations.length) % 1)
    );
    const previousCredits = opts.credits?.length === destinations.length ? opts.credits : initialCredits;
    const credits = destinations.map((destination, index) => (previousCredits[index] ?? 0) + destination.weight);
    let best = -1;
    for (let index = 0; index < destinations.length; index += 1) {
        const isBetter = best < 0 || (credits[index] ?? 0) > (credits[best] ?? 0);
        if (isBetter && (destinations[index]?.weight ?? 0) > 0) {
            best = index;
        }
    }
    const destination = destinations[best];
    if (destination === undefined) {
        return undefined;
    }
    credits[best] = (credits[best] ?? 0) - total;
    return { destination, credits };
};
