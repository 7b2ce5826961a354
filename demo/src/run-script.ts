import { setTimeout as delay } from "node:timers/promises";
import type { ScriptStep } from "./script-step.js";

/** Runs and prints each step at its scheduled time. A step that fails aborts the script. */
export const runScript = async (
    steps: readonly ScriptStep[],
    opts: { readonly print: (line: string) => void; readonly signal: AbortSignal; },
): Promise<void> => {
    const startedAtMs = performance.now();
    for (const step of steps) {
        await delay(Math.max(step.atMs - (performance.now() - startedAtMs), 0), undefined, { signal: opts.signal });
        opts.print(`  ${((performance.now() - startedAtMs) / 1000).toFixed(1).padStart(5)} s  ${step.title}`);
        await step.run();
    }
};
