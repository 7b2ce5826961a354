import type { ClassSecond } from "./class-second.js";
import type { ClassState } from "./class-state.js";
import { latencyBuckets } from "./latency-buckets.js";
import type { Mutable } from "./mutable.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";

const NEWEST_LIMIT = 32;
const NO_LATENCIES = new Uint32Array(latencyBuckets.count);

const emptySecond = (second: number): ClassSecond => ({
    second,
    arrived: 0,
    completed: 0,
    late: 0,
    rejected: 0,
    unknown: 0,
    latencies: NO_LATENCIES,
    newestLatenciesMs: [],
});

/** Counts one event of a class, with the latency when a request was completed. */
export const recordClass = (
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
    const current: Mutable<ClassSecond> = last?.second === second ? { ...last } : emptySecond(second);
    current[opts.count] += 1;
    if (opts.latencyMs !== undefined) {
        const newest = [...current.newestLatenciesMs, opts.latencyMs];
        const full = newest.length >= NEWEST_LIMIT;
        current.latencies = full ? latencyBuckets.add(current.latencies, newest) : current.latencies;
        current.newestLatenciesMs = full ? [] : newest;
        current.late += opts.latencyMs > classState.targets.lateness.withinMs ? 1 : 0;
    }
    const others = last?.second === second ? classState.seconds.slice(0, -1) : classState.seconds;
    const kept = others.filter(other => other.second > second - ROUTING_LIMITS.statisticsSeconds - 1);
    const changed: ClassState = { ...classState, seconds: [...kept, current] };
    service.classes = new Map(service.classes).set(className, changed);
};
