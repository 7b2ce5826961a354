import type { BackendRecord } from "@marigoldstall-private/backend-server";
import type { CallerReport } from "@marigoldstall-private/caller";
import { luznik } from "@marigoldstall-private/sites";
import type { Site } from "@marigoldstall-private/sites";
import type { BenchOptions } from "./bench-options.js";
import { describeConditions } from "./describe-conditions.js";
import { percentile } from "./percentile.js";
import { prepareSite } from "./prepare-site.js";
import { readCpuTime } from "./read-cpu-time.js";
import { readMetric } from "./read-metric.js";
import { runCaller } from "./run-caller.js";
import { simulateCentralQueue } from "./simulate-central-queue.js";
import { writeMeasurement } from "./write-measurement.js";

const POLICIES = ["random", "power-of-two-choices", "least-outstanding", "slot-aware"] as const;
const LOAD_PERCENTAGES = [50, 70, 85, 95];
const SERVICE = "statusdesk";
const MEAN_SERVICE_MS = 40;
const SLOTS = 2;
const STRAGGLER_FACTOR = 3;
const REPORT_LAG_MS = 500;
const WARM_UP_MS = 3000;
const CONTROL_BYTES_METRIC = "marigoldstall_control_bytes_total";

interface RunParameters {
    readonly seed: number;
    readonly loadPercent: number;
    readonly policy: string;
}

interface SiteCounters {
    readonly atMs: number;
    readonly records: readonly BackendRecord[];
    readonly cpuMs: number;
    readonly controlBytes: number | undefined;
}

const readSiteCounters = async (site: Site): Promise<SiteCounters> => {
    const bytes = await Promise.all(
        site.daemons.map(daemon => readMetric(daemon.operatorAddress, { name: CONTROL_BYTES_METRIC })),
    );
    return {
        atMs: performance.timeOrigin + performance.now(),
        records: await site.records(),
        cpuMs: site.daemons.reduce((sum, daemon) => sum + readCpuTime(site.processOf(daemon).pid), 0),
        controlBytes: bytes.some(count => count === undefined)
            ? undefined
            : bytes.reduce<number>((sum, count) => sum + (count ?? 0), 0),
    };
};

/**
 * Simulates the arrivals and service times of a run with a central queue, which gives a lower bound of the latencies.
 * Service times measured on the straggler are divided by its slowdown factor first.
 */
const simulateLowerBound = (
    report: CallerReport,
    opts: { readonly records: readonly BackendRecord[]; readonly stragglerVmId: string | undefined; },
): readonly number[] => {
    const serviceTimeMsByNonce = new Map(
        opts.records.flatMap(record =>
            record.runs.filter(run => run.ending === "finished").map((run): readonly [string, number] => [
                new URL(run.path, "http://entry").searchParams.get("nonce") ?? "",
                ((run.finishedAtMs ?? run.startedAtMs) - run.startedAtMs)
                / (record.vmId === opts.stragglerVmId ? STRAGGLER_FACTOR : 1),
            ])
        ),
    );
    const requests = report.calls.map(call => (
        {
            arrivedAtMs: call.dueAtMs,
            serviceTimeMs: serviceTimeMsByNonce.get(call.nonce) ?? MEAN_SERVICE_MS,
            warmUp: call.warmUp,
        }
    )).sort((a, b) => a.arrivedAtMs - b.arrivedAtMs);
    const slotFactors = opts.records.flatMap(record =>
        Array.from({ length: SLOTS }, () => record.vmId === opts.stragglerVmId ? STRAGGLER_FACTOR : 1)
    );
    const latencies = simulateCentralQueue(requests, { slotFactors });
    return latencies.filter((latency, index) => requests[index]?.warmUp === false);
};

const measureRun = async (site: Site, opts: BenchOptions & RunParameters): Promise<readonly (readonly string[])[]> => {
    const servers = site.backendServers.filter(server => server.service === SERVICE);
    const straggler = servers[0];
    for (const server of servers) {
        await site.setBackendFaults(server, {
            reportLagMs: REPORT_LAG_MS,
            ...server === straggler ? { stragglerFactor: STRAGGLER_FACTOR } : {},
        });
    }
    const capacityPerSecond = (servers.length - 1 + 1 / STRAGGLER_FACTOR) * SLOTS * 1000
        / MEAN_SERVICE_MS;
    const before = await readSiteCounters(site);
    const [first = "", ...others] = site.daemons.map(daemon => daemon.callerAddress);
    const report = await runCaller({
        entries: [first, ...others],
        classes: [{
            name: "status-check",
            method: "GET",
            path: `/${SERVICE}/status`,
            ratePerSecond: capacityPerSecond * opts.loadPercent / 100,
            repeatable: true,
            responseBytes: 600,
        }],
        seed: opts.seed,
        durationMs: WARM_UP_MS + 1000 * opts.durationSeconds,
        warmUpMs: WARM_UP_MS,
        settleMs: 10_000,
    });
    const after = await readSiteCounters(site);
    const [classReport] = report.classes;
    if (classReport === undefined) {
        throw new Error("the report of the caller has no classes");
    }
    const elapsedSeconds = (after.atMs - before.atMs) / 1000;
    const records = after.records.filter(record => record.service === SERVICE);
    const runs = records.flatMap(record => record.runs);
    const refusals = records.flatMap(record => record.refusals);
    const probes = after.records.flatMap(record => record.probes).filter(probe => probe.atMs >= before.atMs).length;
    const controlBytes = after.controlBytes === undefined || before.controlBytes === undefined
        ? "not measured"
        : ((after.controlBytes - before.controlBytes) / elapsedSeconds / site.daemons.length).toFixed(0);
    const lowerBoundLatenciesMs = simulateLowerBound(report, { records, stragglerVmId: straggler?.vmId });
    const runColumns = [String(opts.loadPercent), String(opts.seed)];
    return [
        [
            ...runColumns,
            opts.policy,
            String(classReport.sent),
            classReport.p50Ms.toFixed(1),
            classReport.p99Ms.toFixed(1),
            classReport.p999Ms.toFixed(1),
            (100 * classReport.notRun / classReport.sent).toFixed(2),
            String(classReport.unknown + classReport.noAnswer),
            ((runs.length + refusals.length) / report.calls.length).toFixed(3),
            (probes / elapsedSeconds).toFixed(1),
            controlBytes,
            ((after.cpuMs - before.cpuMs) / report.calls.length).toFixed(2),
        ],
        [
            ...runColumns,
            `bound for ${opts.policy}`,
            String(lowerBoundLatenciesMs.length),
            percentile(lowerBoundLatenciesMs, { percent: 50 }).toFixed(1),
            percentile(lowerBoundLatenciesMs, { percent: 99 }).toFixed(1),
            percentile(lowerBoundLatenciesMs, { percent: 99.9 }).toFixed(1),
            ...Array.from({ length: 6 }, () => ""),
        ],
    ];
};

const writeResults = (
    rows: readonly (readonly string[])[],
    opts: { readonly conditions: readonly string[]; },
): string =>
    writeMeasurement("policies", {
        title: "Selection policies with a straggler and stale load reports",
        conditions: [
            ...opts.conditions,
            `load: site luznik with ${luznik.entryVms} daemons, 12 backend servers of ${SERVICE} with ${SLOTS} `
            + `slots, exponential service times of mean ${MEAN_SERVICE_MS} ms, one straggler (factor ${STRAGGLER_FACTOR}), `
            + `load reports ${REPORT_LAG_MS} ms old; load in percent of the slot capacity, the straggler counted with its speed`,
        ],
        header: [
            "load %",
            "seed",
            "policy",
            "calls",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "turned away %",
            "unknown",
            "attempts/request",
            "probes/s",
            "control bytes/s per daemon",
            "processor ms/request",
        ],
        rows,
        notes: [
            "Bound: the arrivals and service times of that run through one queue with perfect knowledge, calculated, "
            + "without any time for the network or the daemon.",
            "Attempts: runs and refusals at the backend servers over calls, with the warm-up. Processor time is that of "
            + "all daemons with their background work.",
        ],
    });

/** Compares selection policies with a central queue, on a service with a straggler and stale load reports. */
export const policies = async (opts: BenchOptions): Promise<string> => {
    const conditions = describeConditions(opts);
    const rows: (readonly string[])[] = [];
    let file = "";
    for (const loadPercent of LOAD_PERCENTAGES) {
        for (const seed of opts.seeds) {
            for (const policy of POLICIES) {
                const site = await prepareSite({
                    layout: luznik,
                    seed,
                    stopNoticeMs: 0,
                    daemonCommand: [process.execPath, "daemon/cli/lib/main.js", "--policy", policy],
                    serviceTime: { distribution: "exponential", meanMs: MEAN_SERVICE_MS },
                });
                try {
                    rows.push(...await measureRun(site, { ...opts, seed, loadPercent, policy }));
                    opts.print(rows.at(-2)?.join("  ") ?? "");
                }
                finally {
                    await site.stop();
                }
                // Written after each run, so that an interrupted measurement keeps the results so far.
                file = writeResults(rows, { conditions });
            }
        }
    }
    return file;
};
