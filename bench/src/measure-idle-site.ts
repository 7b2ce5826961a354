import { luznik } from "@marigoldstall-private/sites";
import type { Site, SiteDaemon } from "@marigoldstall-private/sites";
import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import type { CostRow } from "./cost-row.js";
import { prepareSite } from "./prepare-site.js";
import { readCpuTime } from "./read-cpu-time.js";
import { readTraffic } from "./read-traffic.js";
import { runCaller } from "./run-caller.js";
import type { TrafficSample } from "./traffic-sample.js";

const STARTUP_WAIT_MS = 8_000;
const IDLE_MEASUREMENT_MS = 20_000;
const WARM_UP_MS = 4_000;
const LOAD_MEASUREMENT_MS = 8_000;
const SECOND_MS = 1000;
const LOADS = [
    {
        title: "repeatable, through one daemon",
        service: "statusdesk",
        method: "GET",
        ratePerSecond: 300,
        repeatable: true,
    },
    {
        title: "with an idempotency key, through one daemon; work of all daemons",
        service: "crewcall",
        method: "POST",
        ratePerSecond: 100,
        repeatable: false,
    },
] as const;

interface SiteSample {
    readonly atMs: number;
    readonly cpuMsByDaemon: readonly number[];
    readonly traffic: readonly TrafficSample[];
    readonly logRecordCount: number;
}

const countRecords = async (site: Site, stream: string): Promise<number> => {
    const url = `http://${site.platform.log}/streams/${stream}/records?from=0&limit=10000`;
    const page = await (await fetch(url)).json() as { readonly records: readonly unknown[]; };
    return page.records.length;
};

const readSample = async (site: Site): Promise<SiteSample> => ({
    atMs: performance.now(),
    cpuMsByDaemon: site.daemons.map(daemon => readCpuTime(site.processOf(daemon).pid)),
    traffic: site.daemons.map(daemon => readTraffic(daemon.logFile)),
    logRecordCount: await countRecords(site, "ownership") + await countRecords(site, "configuration"),
});

const readResidentMb = (pid: number): number => {
    const kilobytes = /^VmRSS:\s+(\d+)/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
    return Number(kilobytes) / 1000;
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
const getPort = (address: string): string => address.slice(address.lastIndexOf(":") + 1);

/** Averages the traffic per second over all daemons, grouped by peer. */
const summarizeTraffic = (site: Site, opts: { readonly before: SiteSample; readonly after: SiteSample; }) => {
    const controlPorts = new Set(site.daemons.map(daemon => getPort(daemon.controlAddress)));
    const getGroupName = (key: string): string => {
        const port = key.slice(key.indexOf(":") + 1);
        if (controlPorts.has(port)) {
            return key.startsWith("to:") ? "control port of others" : "own control port";
        }
        if (port === getPort(site.platform.log)) {
            return "log";
        }
        return port === getPort(site.platform.vmList) ? "VM list" : "backend servers and operator port";
    };
    const groups = new Map<string, { read: number; written: number; messages: number; }>();
    opts.after.traffic.forEach((after, index) => {
        const before = opts.before.traffic[index];
        const seconds = (after.atMs - (before?.atMs ?? 0)) / SECOND_MS * site.daemons.length;
        for (const [key, total] of Object.entries(after.ports)) {
            const previous = before?.ports[key];
            const group = groups.get(getGroupName(key)) ?? { read: 0, written: 0, messages: 0 };
            group.read += (total.read - (previous?.read ?? 0)) / seconds;
            group.written += (total.written - (previous?.written ?? 0)) / seconds;
            group.messages += (total.messages - (previous?.messages ?? 0)) / seconds;
            groups.set(getGroupName(key), group);
        }
    });
    return groups;
};

const measureLoad = async (
    site: Site,
    opts: {
        readonly daemon: SiteDaemon;
        readonly load: (typeof LOADS)[number];
        readonly idleCpuMsPerSecond: number;
        readonly seed: number;
    },
): Promise<CostRow> => {
    const { load } = opts;
    // The work of a request with an idempotency key is split between the entry daemon and the owner of the key.
    const daemons = load.repeatable ? [opts.daemon] : site.daemons;
    const readTotalCpuMs = () => sum(daemons.map(daemon => readCpuTime(site.processOf(daemon).pid)));
    const runLoad = (durationMs: number) =>
        runCaller({
            entries: [opts.daemon.callerAddress],
            classes: [{
                name: load.title,
                method: load.method,
                path: load.repeatable ? `/${load.service}/status` : `/${load.service}/dispatches`,
                ratePerSecond: load.ratePerSecond,
                repeatable: load.repeatable,
                bodyBytes: load.repeatable ? 0 : 400,
                responseBytes: 600,
            }],
            seed: opts.seed,
            durationMs,
        });
    await runLoad(WARM_UP_MS);
    const startMs = performance.now();
    const before = readTotalCpuMs();
    const { classes } = await runLoad(LOAD_MEASUREMENT_MS);
    const idleCpuMs = opts.idleCpuMsPerSecond * daemons.length * (performance.now() - startMs) / SECOND_MS;
    const [report] = classes;
    if (report === undefined || report.completed === 0) {
        throw new Error(`no call completed: ${load.title}`);
    }
    return {
        part: "luznik, calls",
        at: `${load.ratePerSecond} calls/s ${load.title}; ${report.completed} of ${report.sent} completed`,
        quantity: "processor ms a call above the idle work",
        value: ((readTotalCpuMs() - before - idleCpuMs) / report.sent).toFixed(3),
    };
};

/** Measures the idle cost of the 13 daemons of site luznik, then the cost of calls through one of them. */
export const measureIdleSite = async (opts: { readonly seed: number; }): Promise<readonly CostRow[]> => {
    const preload = new URL("count-traffic-main.js", import.meta.url).href;
    const site = await prepareSite({
        layout: luznik,
        seed: opts.seed,
        daemonEnvironment: { NODE_OPTIONS: `--import=${preload}` },
    });
    try {
        await delay(STARTUP_WAIT_MS);
        const before = await readSample(site);
        await delay(IDLE_MEASUREMENT_MS);
        const after = await readSample(site);
        const seconds = (after.atMs - before.atMs) / SECOND_MS;
        const idleCpuMsPerSecond = (sum(after.cpuMsByDaemon) - sum(before.cpuMsByDaemon)) / seconds
            / site.daemons.length;
        const residentMb = site.daemons.map(daemon => readResidentMb(site.processOf(daemon).pid));
        const at = `${site.daemons.length} daemons, ${site.backendServers.length} backend servers, idle`;
        const part = "luznik, idle";
        const rows: CostRow[] = [
            { part, at, quantity: "processor ms/s of a daemon, mean", value: idleCpuMsPerSecond.toFixed(2) },
            {
                part,
                at,
                quantity: "resident MB of a daemon, mean and highest",
                value: `${(sum(residentMb) / residentMb.length).toFixed(0)}, ${Math.max(...residentMb).toFixed(0)}`,
            },
            {
                part,
                at,
                quantity: "appends/s at the log, whole fleet",
                value: ((after.logRecordCount - before.logRecordCount) / seconds).toFixed(2),
            },
        ];
        const groups = [...summarizeTraffic(site, { before, after })].sort(([left], [right]) => left < right ? -1 : 1);
        for (const [group, { read, written, messages }] of groups) {
            rows.push({
                part,
                at: `traffic of a daemon: ${group}`,
                quantity: "HTTP requests/s, bytes/s received, bytes/s sent",
                value: `${messages.toFixed(2)}, ${read.toFixed(0)}, ${written.toFixed(0)}`,
            });
        }
        rows.push({
            part,
            at: "traffic of a daemon: all",
            quantity: "bytes/s received and sent",
            value: sum(groups.map(([, { read, written }]) => read + written)).toFixed(0),
        });
        const [daemon] = site.daemons;
        if (daemon !== undefined) {
            for (const load of LOADS) {
                rows.push(await measureLoad(site, { daemon, load, idleCpuMsPerSecond, seed: opts.seed }));
            }
        }
        return rows;
    }
    finally {
        await site.stop();
    }
};
