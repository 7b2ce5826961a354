import type { Caller } from "@marigoldstall-private/caller";
import type { Site } from "@marigoldstall-private/sites";
import { setTimeout as delay } from "node:timers/promises";

const CHECK_INTERVAL_MS = 500;

/** Restricts the caller to the daemons that are ready, as the platform's load balancer does. */
export const trackReadyEntries = async (
    site: Site,
    opts: { readonly caller: Caller; readonly signal: AbortSignal; },
): Promise<void> => {
    while (!opts.signal.aborted) {
        const ready = await Promise.all(site.daemons.map(daemon => site.isReady(daemon)));
        const entries = site.daemons.filter((daemon, index) => ready[index]).map(daemon => daemon.callerAddress);
        if (entries.length > 0) {
            opts.caller.setEntries(entries);
        }
        await delay(CHECK_INTERVAL_MS, undefined, { signal: opts.signal }).catch(() => undefined);
    }
};
