import type { Outcome, PlatformCaller } from "@marigoldstall-private/platform";
import type { SoakSite } from "./soak-site.js";

// A VM avoids a server for a while after failures, so a server may be left out of the first rounds.
const MAX_ROUNDS = 15;
const ROUND_INTERVAL_MS = 300;

interface FindUnusedServersOptions {
    readonly callers: ReadonlyMap<string, PlatformCaller>;
    readonly nextRequestId: (vmId: string) => string;
    readonly onOutcome: (outcome: Outcome) => void;
}

/** Sends each VM more requests at once than all servers but one can take, and returns the servers that got none. */
export const findUnusedServers = async (
    site: SoakSite,
    opts: FindUnusedServersOptions,
): Promise<readonly string[]> => {
    const unused: string[] = [];
    for (const [vmId, caller] of opts.callers) {
        const missing = new Set(site.liveServers.map(({ instanceId }) => instanceId));
        const requestCount = site.liveServers.reduce((slots, server) => slots + server.slots, 0);
        for (let round = 0; round < MAX_ROUNDS && missing.size > 0; round += 1) {
            const outcomes = await Promise.all(
                [...Array(requestCount)].map(() => caller.send(opts.nextRequestId(vmId), { isIdempotent: true })),
            );
            for (const outcome of outcomes) {
                opts.onOutcome(outcome);
                for (const instanceId of site.instanceIdsByRequest.get(outcome.requestId) ?? []) {
                    missing.delete(instanceId);
                }
            }
            await new Promise(resolve => {
                setTimeout(resolve, ROUND_INTERVAL_MS);
            });
        }
        unused.push(...[...missing].map(instanceId => `${vmId} does not use ${instanceId}, which is registered`));
    }
    return unused;
};
