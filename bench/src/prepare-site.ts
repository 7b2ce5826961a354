import { findTargetsFile, runTool, Site } from "@marigoldstall-private/sites";
import type { SiteOptions } from "@marigoldstall-private/sites";

const READY_WITHIN_MS = 30_000;

/** Starts a site, publishes its targets and waits until all daemons are ready. */
export const prepareSite = async (opts: SiteOptions): Promise<Site> => {
    const site = await Site.start(opts);
    try {
        const published = await runTool(site, {
            parameters: ["targets", "publish", findTargetsFile(opts.layout.name)],
        });
        if (published.exitCode !== 0) {
            throw new Error(`"targets publish" exited with code ${published.exitCode}:\n${published.stderr}`);
        }
        const notReady = await site.waitUntilReady({ withinMs: READY_WITHIN_MS });
        if (notReady.length > 0) {
            throw new Error(`daemons not ready in time: ${notReady.map(daemon => daemon.vmId).join(", ")}`);
        }
        return site;
    }
    catch (error) {
        await site.stop();
        throw error;
    }
};
