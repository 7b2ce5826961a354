import type { RandomSource } from "@marigoldstall-private/random";
import { setTimeout as sleep } from "node:timers/promises";
import type { DirectivePeriod } from "./directive-period.js";
import type { SoakSite } from "./soak-site.js";

interface InjectServerDirectivesOptions {
    readonly random: RandomSource;
    readonly durationMs: number;
    readonly log: (line: string) => void;
    /** Sends the request that ends each server that runs it. */
    readonly sendDeadly: () => void;
}

const MAX_INTERVAL_MS = 2_000;
const MIN_PERIOD_MS = 4_500;
const MAX_PERIOD_MS = 9_000;
// The end of a smaller limit shows only with the next request that it lets through.
const MIN_LIMIT_PER_S = 0.2;
const MAX_LIMIT_PER_S = 1.5;
const MAX_RETRY_AFTER_S = 2;
const RETRY_AFTER_PERIOD_MS = 600;
const MIN_READY_SERVERS = 5;
const DEADLY_INTERVAL_MS = 350;

const sendDeadlyRequests = async (opts: InjectServerDirectivesOptions, endAtMs: number): Promise<void> => {
    while (performance.now() < endAtMs) {
        opts.sendDeadly();
        await sleep(DEADLY_INTERVAL_MS);
    }
};

const injectDirective = async (
    site: SoakSite,
    opts: InjectServerDirectivesOptions,
    periods: DirectivePeriod[],
): Promise<void> => {
    const { random } = opts;
    const ready = site.servers.filter(({ server, proxy }) =>
        site.liveServers.includes(server) && Object.keys(server.directives).length === 0 && !proxy.isDown
    );
    const entry = ready[Math.floor(random.uniform() * ready.length)];
    if (entry === undefined || ready.length < MIN_READY_SERVERS) {
        return;
    }
    const { server } = entry;
    const kind = (["limit", "limit", "retry-after", "leaving"] as const)[Math.floor(random.uniform() * 4)] ?? "limit";
    const value = kind === "limit"
        ? MIN_LIMIT_PER_S + random.uniform() * (MAX_LIMIT_PER_S - MIN_LIMIT_PER_S)
        : random.uniform() * MAX_RETRY_AFTER_S;
    const startedAtMs = performance.now();
    opts.log(`${server.instanceId}: ${kind} ${value.toFixed(2)}`);
    switch (kind) {
        case "limit":
            server.directives = { limitPerSecond: Number(value.toFixed(2)) };
            await sleep(MIN_PERIOD_MS + random.uniform() * (MAX_PERIOD_MS - MIN_PERIOD_MS));
            break;
        case "retry-after":
            server.directives = { retryAfterS: value };
            await sleep(RETRY_AFTER_PERIOD_MS);
            break;
        case "leaving":
            // It stays ready in the store, and says so until the end.
            server.directives = { isLeaving: true };
            periods.push({ kind, entry, value, startedAtMs, endedAtMs: Infinity, hadProxyFault: false });
            return;
    }
    server.directives = {};
    const hadProxyFault = entry.proxy.faultEndedAtMs >= startedAtMs;
    periods.push({ kind, entry, value, startedAtMs, endedAtMs: performance.now(), hadProxyFault });
};

/** Lets servers ask for less, and sends the deadly request, until the duration has elapsed. */
export const injectServerDirectives = async (
    site: SoakSite,
    opts: InjectServerDirectivesOptions,
): Promise<readonly DirectivePeriod[]> => {
    const endAtMs = performance.now() + opts.durationMs;
    const periods: DirectivePeriod[] = [];
    const running = [sendDeadlyRequests(opts, endAtMs)];
    while (performance.now() < endAtMs) {
        running.push(injectDirective(site, opts, periods));
        await sleep(opts.random.uniform() * MAX_INTERVAL_MS);
    }
    await Promise.all(running);
    return periods;
};
