import type { Outcome } from "@marigoldstall-private/platform";
import type { DirectivePeriod } from "./directive-period.js";
import type { SoakArrival } from "./soak-arrival.js";
import type { SoakSite } from "./soak-site.js";

// What the users allow: a limit counts from 3 s after it was stated, and in 4 s for one and a half times as many requests
// and 5; a leaving server gets requests for 2 s; one that asked for time gets 2 requests in it, from half a second on.
const STABLE_WINDOW_MS = 3_000;
const LIMIT_WINDOW_MS = 4_000;
const DRAIN_MS = 2_000;
const REACTION_MS = 500;
const MAX_REQUESTS_LEFT_ALONE = 2;
const MAX_DEADLY_SENDS = 3;
const CRASHES_BEFORE_VERDICT = 3;
// Delays of proxies and of a busy machine between a VM and a server.
const SLACK_MS = 400;
const STATUS_OK = 200;

const countMostInWindow = (timesMs: readonly number[]): number =>
    Math.max(
        0,
        ...timesMs.map(endMs => timesMs.filter(atMs => atMs <= endMs && atMs > endMs - LIMIT_WINDOW_MS).length),
    );

const checkPeriod = (
    period: DirectivePeriod,
    opts: { readonly arrivals: readonly SoakArrival[]; readonly outcomes: readonly Outcome[]; },
): readonly string[] => {
    const { arrivals, outcomes } = opts;
    const { kind, value, startedAtMs, endedAtMs, entry: { server: { instanceId } } } = period;
    // A VM that was restarted or paused since is excused.
    const own = arrivals.filter(arrival =>
        arrival.instanceId === instanceId && arrival.atMs >= startedAtMs && arrival.vmSteadySinceMs < startedAtMs
    );
    if (kind === "limit") {
        const most = countMostInWindow(
            own.map(({ atMs }) => atMs).filter(atMs => atMs >= startedAtMs + STABLE_WINDOW_MS && atMs <= endedAtMs),
        );
        const allowed = 1.5 * value * LIMIT_WINDOW_MS / 1_000 + 5;
        return most > allowed ? [`${instanceId} takes ${value.toFixed(2)} a second and got ${most} in 4 s`] : [];
    }
    return [...new Set(own.map(({ vmId }) => vmId))].flatMap(vmId => {
        const times = own.filter(arrival => arrival.vmId === vmId).map(({ atMs }) => atMs);
        const requestIds = new Set(own.filter(arrival => arrival.vmId === vmId).map(({ requestId }) => requestId));
        // A response that was lost on the way told the VM nothing (seed 1275806700).
        const firstMs = Math.min(
            ...outcomes.filter(({ requestId, statusCode }) => requestIds.has(requestId) && statusCode === STATUS_OK)
                .map(({ endedAtMs }) => endedAtMs),
        );
        if (kind === "leaving") {
            const late = times.filter(atMs => atMs > firstMs + DRAIN_MS + SLACK_MS).length;
            return late > 0 ? [`${vmId} sent ${late} requests to ${instanceId}, which said that it was leaving`] : [];
        }
        const answered = times.filter(atMs => atMs <= endedAtMs);
        const early = times.filter(atMs =>
            answered.some(answeredMs =>
                atMs > answeredMs + REACTION_MS && atMs < answeredMs + value * 1_000
            )
        ).length;
        return early > MAX_REQUESTS_LEFT_ALONE
            ? [`${vmId} sent ${early} requests to ${instanceId}, which asked for time`]
            : [];
    });
};

const checkDeadly = (site: SoakSite, deadlyIds: ReadonlySet<string>): readonly string[] => {
    const verdictMs = (site.crashesMs[CRASHES_BEFORE_VERDICT - 1] ?? Infinity) + STABLE_WINDOW_MS;
    const late = site.arrivals.filter(({ requestId, atMs, vmSteadySinceMs }) =>
        deadlyIds.has(requestId) && atMs > verdictMs && vmSteadySinceMs < atMs - STABLE_WINDOW_MS
    );
    return late.length > MAX_DEADLY_SENDS
        ? [`a request under which servers had ended was sent ${late.length} times more`]
        : [];
};

/** Returns one line for each request of a server to its callers that the VMs did not follow. */
export const findIgnoredDirectives = (site: SoakSite, opts: {
    readonly periods: readonly DirectivePeriod[];
    readonly deadlyIds: ReadonlySet<string>;
    readonly outcomes: readonly Outcome[];
}): readonly string[] => [
    ...opts.periods.filter(({ hadProxyFault }) => !hadProxyFault).flatMap(period =>
        checkPeriod(period, { arrivals: site.arrivals, outcomes: opts.outcomes })
    ),
    ...checkDeadly(site, opts.deadlyIds),
];
