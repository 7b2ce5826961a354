import type { Targets } from "@marigoldstall/core.types";

const URGENCIES = ["urgent", "normal", "patient"] as const;

/** Targets with this many classes for each service; the first class of a service is urgent and repeatable. */
export const planTargets = (
    opts: { readonly services: number; readonly classesPerService: number; },
): Targets => ({
    site: "two-years",
    measuring: { probesPerSecond: 20 },
    classes: Array.from({ length: opts.services * opts.classesPerService }, (unused, index) => {
        const service = `service-${String(index % opts.services).padStart(2, "0")}`;
        const number = Math.floor(index / opts.services);
        return {
            name: `${service}-class-${number}`,
            service,
            urgency: URGENCIES[number % URGENCIES.length] ?? "normal",
            repeatable: number % 2 === 0,
            lateness: { percentile: 99, withinMs: 250 },
            turnedAwayAtMostPercent: 0.5,
            match: [{ methods: ["GET"], pathPrefix: `/class-${number}` }],
        };
    }),
});
