import { execFile } from "node:child_process";
import type { Site } from "./site.js";
import type { ToolResult } from "./tool-result.js";

const TOOL = "tool/cli/lib/main.js";
const TIMEOUT_MS = 60_000;

/** Runs the command-line tool against a site, as a child process. */
export const runTool = (site: Site, opts: { readonly parameters: readonly string[]; }): Promise<ToolResult> =>
    new Promise(resolve => {
        const command = [TOOL, "--settings", site.toolSettingsFile, ...opts.parameters];
        execFile(process.execPath, command, { timeout: TIMEOUT_MS }, (error, stdout, stderr) => {
            const exitCode = typeof error?.code === "number" ? error.code : error ? 1 : 0;
            resolve({ exitCode, stdout, stderr });
        });
    });
