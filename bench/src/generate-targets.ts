import type { Targets } from "@marigoldstall/core.types";

const URGENCIES = ["urgent", "normal", "patient"] as const;

/** Generates targets for simulated services. The first class of each service is urgent and repeatable. */
export const generateTargets = (
    opts: { readonly serviceCount: number; readonly classesPerService: number; },
): Targets => ({
    site: "two-years",
    measuring: { probesPerSecond: 20 },
    classes: Array.from({ length: opts.serviceCount * opts.classesPerService }, (unused, index) => {
        const service = `service-${String(index % opts.serviceCount).padStart(2, "0")}`;
        const number = Math.floor(index / opts.serviceCount);
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
