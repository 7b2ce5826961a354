import type { CallerReport, CallerSettings } from "@marigoldstall-private/caller";
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";

const MAX_REPORT_BYTES = 512 * 1_048_576;
const callerMain = join(dirname(createRequire(import.meta.url).resolve("@marigoldstall-private/caller")), "main.js");

/** Runs a caller in a separate process, so that its work does not delay the measurement. */
export const runCaller = async (settings: CallerSettings): Promise<CallerReport> => {
    const directory = mkdtempSync(join(tmpdir(), "marigoldstall-bench-"));
    const planFile = join(directory, "plan.json");
    writeFileSync(planFile, JSON.stringify(settings));
    try {
        const output = await new Promise<string>((resolve, reject) => {
            const args = [callerMain, "--plan", planFile, "--until-stdin-ends"];
            execFile(process.execPath, args, { maxBuffer: MAX_REPORT_BYTES }, (error, stdout) => {
                if (error) {
                    reject(error);
                }
                else {
                    resolve(stdout);
                }
            });
        });
        return JSON.parse(output) as CallerReport;
    }
    finally {
        rmSync(directory, { recursive: true });
    }
};
