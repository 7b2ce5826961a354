import type { RandomSource } from "@marigoldstall-private/random";
import { setTimeout as sleep } from "node:timers/promises";
import type { SoakSite } from "./soak-site.js";

// With late answers, calls are processed before the restore and answered after it.
const AWAY_FAULTS = ["busy", "silent", "reset", "late-answers"] as const;
const MAX_AWAY_MS = 1_500;
const MIN_COPY_AGE_MS = 500;
const MAX_COPY_AGE_MS = 10_000;
const MAX_INTERVAL_MS = 5_000;
const REPEAT_SHARE = 0.4;
const MAX_REPEAT_DELAY_MS = 1_500;

interface InjectStoreRestoresOptions {
    readonly random: RandomSource;
    readonly durationMs: number;
    readonly log: (line: string) => void;
}

/** Restores the store from older copies, at times twice within seconds, until the duration has elapsed. */
export const injectStoreRestores = async (site: SoakSite, opts: InjectStoreRestoresOptions): Promise<void> => {
    const { random, log } = opts;
    const endAtMs = performance.now() + opts.durationMs;
    let delayMs = random.uniform() * MAX_REPEAT_DELAY_MS;
    while (performance.now() + delayMs < endAtMs) {
        await sleep(delayMs);
        const copyAgeMs = MIN_COPY_AGE_MS + random.uniform() * (MAX_COPY_AGE_MS - MIN_COPY_AGE_MS);
        const kind = AWAY_FAULTS[Math.floor(random.uniform() * AWAY_FAULTS.length)] ?? "busy";
        const awayMs = random.uniform() * MAX_AWAY_MS;
        log(`store: ${kind} for ${Math.round(awayMs)} ms, then a copy of ${Math.round(copyAgeMs)} ms ago`);
        await site.restoreStore({ kind, awayMs, copyAgeMs, random });
        delayMs = random.uniform() * (random.uniform() < REPEAT_SHARE ? MAX_REPEAT_DELAY_MS : MAX_INTERVAL_MS);
    }
};
