import type { ClassSecondCounts } from "./class-second-counts.js";
import type { ClassState } from "./class-state.js";
import { latencyBuckets } from "./latency-buckets.js";
import type { Mutable } from "./mutable.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";

const MAX_PENDING_LATENCIES = 32;
const EMPTY_LATENCY_COUNTS = new Uint32Array(latencyBuckets.count);

const emptySecond = (second: number): ClassSecondCounts => ({
    second,
    arrived: 0,
    completed: 0,
    late: 0,
    rejected: 0,
    unknown: 0,
    latencyCounts: EMPTY_LATENCY_COUNTS,
    pendingLatenciesMs: [],
});

/** Counts one event of a class, with the latency of a completed request. */
export const recordClassEvent = (
    service: Mutable<ServiceState>,
    className: string,
    opts: {
        readonly atMs: number;
        readonly count: "arrived" | "completed" | "rejected" | "unknown";
        readonly latencyMs?: number | undefined;
    },
): void => {
    const classState = service.classes.get(className);
    if (classState === undefined) {
        return;
    }
    const second = Math.floor(opts.atMs / 1000);
    const last = classState.seconds.at(-1);
    const current: Mutable<ClassSecondCounts> = last?.second === second ? { ...last } : emptySecond(second);
    current[opts.count] += 1;
    if (opts.latencyMs !== undefined) {
        const pending = [...current.pendingLatenciesMs, opts.latencyMs];
        const full = pending.length >= MAX_PENDING_LATENCIES;
        current.latencyCounts = full ? latencyBuckets.add(current.latencyCounts, pending) : current.latencyCounts;
        current.pendingLatenciesMs = full ? [] : pending;
        current.late += opts.latencyMs > classState.targets.lateness.withinMs ? 1 : 0;
    }
    const others = last?.second === second ? classState.seconds.slice(0, -1) : classState.seconds;
    const kept = others.filter(other => other.second > second - ROUTING_LIMITS.statisticsSeconds - 1);
    const changed: ClassState = { ...classState, seconds: [...kept, current] };
    service.classes = new Map(service.classes).set(className, changed);
};
