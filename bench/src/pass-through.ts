import type { ClassReport } from "@marigoldstall-private/caller";
import { luznik, ManagedProcess } from "@marigoldstall-private/sites";
import type { Site } from "@marigoldstall-private/sites";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { BenchOptions } from "./bench-options.js";
import { describeConditions } from "./describe-conditions.js";
import { prepareSite } from "./prepare-site.js";
import { readCpuTime } from "./read-cpu-time.js";
import { runCaller } from "./run-caller.js";
import { writeMeasurement } from "./write-measurement.js";

const WARM_UP_MS = 3000;
const RATE_PER_SECOND = 400;
const RESPONSE_BYTES = 600;
const SERVICE = "statusdesk";

interface Variant {
    readonly name: string;
    readonly entryAddress: string;
    /** Process between caller and server, or undefined for direct calls. */
    readonly pid: number | undefined;
}

interface VariantResult {
    readonly seed: number;
    readonly variant: string;
    readonly report: ClassReport;
    readonly cpuMsPerRequest: number | undefined;
}

const measureVariant = async (
    variant: Variant,
    opts: BenchOptions & { readonly seed: number; },
): Promise<VariantResult> => {
    const before = variant.pid === undefined ? 0 : readCpuTime(variant.pid);
    const { classes, calls } = await runCaller({
        entries: [variant.entryAddress],
        classes: [{
            name: "status-check",
            method: "GET",
            path: `/${SERVICE}/status`,
            ratePerSecond: RATE_PER_SECOND,
            repeatable: true,
            responseBytes: RESPONSE_BYTES,
        }],
        seed: opts.seed,
        durationMs: WARM_UP_MS + 1000 * opts.durationSeconds,
        warmUpMs: WARM_UP_MS,
        precise: true,
    });
    const cpuMs = variant.pid === undefined ? undefined : readCpuTime(variant.pid) - before;
    const [report] = classes;
    if (report === undefined) {
        throw new Error("the report of the caller has no classes");
    }
    return {
        seed: opts.seed,
        variant: variant.name,
        report,
        cpuMsPerRequest: cpuMs === undefined ? undefined : cpuMs / calls.length,
    };
};

const measureVariants = async (site: Site, opts: BenchOptions): Promise<readonly VariantResult[]> => {
    const servers = site.backendServers.filter(server => server.service === SERVICE);
    const [server] = servers;
    const [daemon] = site.daemons;
    if (server === undefined || daemon === undefined) {
        throw new Error("the site has no daemon or no backend server of the measured service");
    }
    const proxy = new ManagedProcess({
        name: "bare-proxy",
        command: [
            process.execPath,
            fileURLToPath(new URL("bare-proxy-main.js", import.meta.url)),
            ...servers.map(({ address }) => address),
        ],
        logFile: join(site.directory, "bare-proxy.log"),
        readsFirstLine: true,
    });
    const results: VariantResult[] = [];
    try {
        const { address } = await proxy.firstLine() as { readonly address: string; };
        const variants: readonly Variant[] = [
            { name: "direct", entryAddress: server.address, pid: undefined },
            { name: "bare pass-through", entryAddress: address, pid: proxy.pid },
            { name: "daemon", entryAddress: daemon.callerAddress, pid: site.processOf(daemon).pid },
        ];
        for (const seed of opts.seeds) {
            for (const variant of variants) {
                results.push(await measureVariant(variant, { ...opts, seed }));
                opts.print(`seed ${seed}, ${variant.name}: p50 ${results.at(-1)?.report.p50Ms} ms`);
            }
        }
    }
    finally {
        await proxy.stop({ graceMs: 1000 });
    }
    return results;
};

/** Measures the latency and CPU time that one daemon adds, compared with direct calls and with a minimal proxy. */
export const passThrough = async (opts: BenchOptions): Promise<string> => {
    const conditions = describeConditions(opts);
    const site = await prepareSite({
        layout: luznik,
        daemons: 1,
        serviceTime: { distribution: "constant", meanMs: 0 },
    });
    let results: readonly VariantResult[];
    try {
        results = await measureVariants(site, opts);
    }
    finally {
        await site.stop();
    }
    const rows = results.map(({ seed, variant, report, cpuMsPerRequest }) => {
        const direct = results.find(other => other.seed === seed && other.variant === "direct")?.report ?? report;
        return [
            String(seed),
            variant,
            String(report.sent),
            String(report.sent - report.completed),
            report.p50Ms.toFixed(2),
            report.p99Ms.toFixed(2),
            report.p999Ms.toFixed(2),
            (report.p50Ms - direct.p50Ms).toFixed(2),
            (report.p99Ms - direct.p99Ms).toFixed(2),
            cpuMsPerRequest === undefined ? "" : cpuMsPerRequest.toFixed(3),
        ];
    });
    return writeMeasurement("pass-through", {
        title: "Latency and processor time added by one daemon",
        conditions: [
            ...conditions,
            `load: ${RATE_PER_SECOND} calls/s to ${SERVICE}, answers of ${RESPONSE_BYTES} bytes, runs without a delay`,
        ],
        header: [
            "seed",
            "through",
            "calls",
            "not completed",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "p50 added",
            "p99 added",
            "processor ms/request",
        ],
        rows,
        notes: [
            "Added: difference of the percentiles to those of the direct calls with the same seed.",
            "Processor time is that of the process between caller and server, in steps of 10 ms over the whole run with "
            + "warm-up; the daemon's includes its background work.",
        ],
    });
};
