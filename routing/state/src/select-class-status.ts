import type { ClassTargets } from "@marigoldstall/core.types";
import type { ClassState } from "./class-state.js";
import type { ClassStatus } from "./class-status.js";
import { latencyBuckets } from "./latency-buckets.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { RoutingState } from "./routing-state.js";

interface OpenRequestCounts {
    readonly queued: number;
    readonly inFlight: number;
}

const NO_OPEN_REQUESTS: OpenRequestCounts = { queued: 0, inFlight: 0 };

const keyOf = (targets: ClassTargets): string => `${targets.service} ${targets.name}`;

const countOpenRequests = (state: RoutingState): ReadonlyMap<string, OpenRequestCounts> => {
    const counts = new Map<string, OpenRequestCounts>();
    for (const { classTargets, phase } of state.requests.values()) {
        const { queued, inFlight } = counts.get(keyOf(classTargets)) ?? NO_OPEN_REQUESTS;
        counts.set(keyOf(classTargets), {
            queued: queued + (phase === "queued" ? 1 : 0),
            inFlight: inFlight + (phase === "queued" ? 0 : 1),
        });
    }
    return counts;
};

const statusOf = (classState: ClassState, openCounts: OpenRequestCounts, atMs: number): ClassStatus => {
    const { targets } = classState;
    const since = Math.floor(atMs / 1000) - ROUTING_LIMITS.statisticsSeconds;
    const seconds = classState.seconds.filter(({ second }) => second > since);
    let latencyCounts = new Uint32Array(latencyBuckets.count);
    const sums = { arrived: 0, completed: 0, late: 0, rejected: 0, unknown: 0 };
    for (const second of seconds) {
        sums.arrived += second.arrived;
        sums.completed += second.completed;
        sums.late += second.late;
        sums.rejected += second.rejected;
        sums.unknown += second.unknown;
        latencyCounts = latencyBuckets.add(latencyCounts, second.pendingLatenciesMs);
        for (let index = 0; index < latencyCounts.length; index += 1) {
            latencyCounts[index] = (latencyCounts[index] ?? 0) + (second.latencyCounts[index] ?? 0);
        }
    }
    const reasons: string[] = [];
    const allowedLate = sums.completed * (1 - targets.lateness.percentile / 100);
    if (sums.late > allowedLate) {
        reasons.push(`${sums.late} of ${sums.completed} responses took longer than ${targets.lateness.withinMs} ms`);
    }
    const ended = sums.completed + sums.rejected + sums.unknown;
    if (sums.rejected * 100 > targets.turnedAwayAtMostPercent * ended) {
        reasons.push(`${sums.rejected} of ${ended} requests were rejected`);
    }
    if (sums.unknown > 0) {
        reasons.push(`${sums.unknown} of ${ended} requests ended with an unknown outcome`);
    }
    return {
        service: targets.service,
        className: targets.name,
        urgency: targets.urgency,
        lateness: targets.lateness,
        turnedAwayAtMostPercent: targets.turnedAwayAtMostPercent,
        ...sums,
        ...openCounts,
        p50Ms: latencyBuckets.percentile(latencyCounts, 50),
        p95Ms: latencyBuckets.percentile(latencyCounts, 95),
        p99Ms: latencyBuckets.percentile(latencyCounts, 99),
        atTargetPercentileMs: latencyBuckets.percentile(latencyCounts, targets.lateness.percentile),
        degraded: reasons.length > 0,
        degradedReasons: reasons,
    };
};

/** Returns the status of every class over the last 10 s. */
export const selectClassStatus = (state: RoutingState, atMs: number): readonly ClassStatus[] => {
    const openCounts = countOpenRequests(state);
    return state.services.flatMap(service =>
        Array.from(
            service.classes.values(),
            classState => statusOf(classState, openCounts.get(keyOf(classState.targets)) ?? NO_OPEN_REQUESTS, atMs),
        )
    );
};
