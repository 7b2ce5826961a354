import { runTool } from "@marigoldstall-private/sites";
import type { Site } from "@marigoldstall-private/sites";

/** Publishes targets with the command-line tool and returns the milliseconds until it reports success. */
export const publishTargets = async (
    site: Site,
    opts: { readonly file: string; readonly waitTimeoutMs?: number; },
): Promise<number> => {
    const startedAtMs = performance.now();
    const waitFlags = opts.waitTimeoutMs === undefined
        ? []
        : ["--wait", "--wait-timeout-ms", String(opts.waitTimeoutMs)];
    const parameters = ["targets", "publish", opts.file, ...waitFlags];
    const result = await runTool(site, { parameters });
    if (result.exitCode !== 0) {
        throw new Error(
            `marigoldstall ${
                parameters.join(" ")
            } exited with code ${result.exitCode}:\n${result.stderr}${result.stdout}`,
        );
    }
    return performance.now() - startedAtMs;
};
