import type { CallerReport, CallerSettings } from "@marigoldstall-private/caller";
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";

const MAX_REPORT_BYTES = 512 * 1_048_576;
const main = join(dirname(createRequire(import.meta.url).resolve("@marigoldstall-private/caller")), "main.js");

/** Runs a caller in a process of its own, so that its work does not delay what is measured. */
export const runCaller = async (settings: CallerSettings): Promise<CallerReport> => {
    const directory = mkdtempSync(join(tmpdir(), "marigoldstall-bench-"));
    const plan = join(directory, "plan.json");
    writeFileSync(plan, JSON.stringify(settings));
    try {
        const text = await new Promise<string>((resolve, reject) => {
            const parameters = [main, "--plan", plan, "--until-stdin-ends"];
            execFile(process.execPath, parameters, { maxBuffer: MAX_REPORT_BYTES }, (error, stdout) => {
                if (error) {
                    reject(error);
                }
                else {
                    resolve(stdout);
                }
            });
        });
        return JSON.parse(text) as CallerReport;
    }
    finally {
        rmSync(directory, { recursive: true });
    }
};
