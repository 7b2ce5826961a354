import type { RandomSource } from "@marigoldstall-private/random";
import type { ServiceTimeSettings } from "./service-time-settings.js";

const DEFAULT_SIGMA = 0.5;

/** Samples a service time from its distribution. */
export const sampleServiceTimeMs = (
    random: RandomSource,
    opts: { readonly serviceTime: ServiceTimeSettings; },
): number => {
    const { distribution, meanMs, sigma = DEFAULT_SIGMA } = opts.serviceTime;
    switch (distribution) {
        case "constant":
            return meanMs;
        case "exponential":
            return meanMs * random.exponential();
        case "lognormal":
            return meanMs * Math.exp(sigma * random.normal() - sigma * sigma / 2);
    }
};
