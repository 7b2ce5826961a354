// What the scripts of the third review share: the entry program as it is deployed, with the project's stand-ins.
import {
    buildVmSettings,
    fetchStatus,
    PlatformServer,
    READY_PATH,
    StoreStandIn,
} from "@marigoldstall-private/platform";
import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "..");
const PORTS = { caller: 8641, ready: 8640, control: 8649, fleet: 7620 };
// The machine of the small sites.
const LIMITS = { cpuShare: 0.54, cores: 1, memoryMb: 350, maxFds: 4_100, linkMbps: 1_000 };
// As in the configuration of the small sites.
const MAX_BODY_BYTES = 67_108_864;
const READY_TRIES = 100;
const READY_INTERVAL_MS = 100;

export const EXIT = { held: 0, broken: 1, notRun: 2 };
export const HAS_TROUBLE = process.env["TROUBLE"] !== "0";
export const PUBLIC_HOST = "hulo84.example";

/** The entry VMs, backend servers and store of one run, and its record. */
export class Site {
    constructor(opts) {
        this.opts = { vmCount: 1, serverCount: 4, workMs: () => 60, service: "statusdesk", bounds: {}, ...opts };
        this.network = `127.${30 + process.pid % 90}.${Math.floor(process.pid / 90) % 250}`;
        this.platformHost = `${this.network}.200`;
        this.directory = mkdtempSync(join(tmpdir(), "marigoldstall-review-"));
        this.store = new StoreStandIn();
        this.servers = [];
        this.entries = [];
        /** Further processes of a case. */
        this.helpers = [];
        this.lines = [];
        this.startedAtMs = performance.now();
    }

    nowMs() {
        return Math.round(performance.now() - this.startedAtMs);
    }

    record(kind, fields) {
        this.lines.push(`${this.nowMs()} ${kind} ${JSON.stringify(fields)}`);
    }

    hostOf(index) {
        return `${this.network}.${index + 1}`;
    }

    async start() {
        const { vmCount, serverCount, service } = this.opts;
        this.storeAddress = await this.store.listen(this.platformHost);
        this.publish();
        for (let index = 0; index < serverCount; index += 1) {
            await this.startServer(`i-${index}`);
        }
        this.record("started", { service, servers: serverCount, vms: vmCount });
        for (let index = 0; index < vmCount; index += 1) {
            this.startEntry(index, { isFirstStart: true });
        }
        for (let index = 0; index < vmCount; index += 1) {
            await this.waitUntilReady(index);
        }
    }

    publish() {
        const { service } = this.opts;
        this.store.publish({ version: 1, host: PUBLIC_HOST, service, maxBodyBytes: MAX_BODY_BYTES });
    }

    async startServer(instanceId) {
        const { workMs } = this.opts;
        const server = new PlatformServer({
            instanceId,
            workMs,
            onRun: requestId => this.opts.onRun?.(instanceId, requestId),
            onCrash: () => this.opts.onCrash?.(instanceId),
        });
        this.servers.push(server);
        const port = await server.listen(this.platformHost);
        this.register({ instanceId, port, slots: server.slots });
        return server;
    }

    register({ instanceId, port, slots }) {
        this.store.register({
            instanceId,
            startedAtUnixMs: Date.now(),
            service: this.opts.service,
            address: `${this.platformHost}:${port}`,
            availabilityZone: "bezigrad",
            slots,
            isDraining: false,
        });
    }

    /** Starts the program with the command of the deploy file. */
    startEntry(index, opts = {}) {
        const { isFirstStart = false } = opts;
        const host = this.hostOf(index);
        const vmId = `front-bezigrad-${index + 1}`;
        const settings = buildVmSettings({
            vmId,
            availabilityZone: "bezigrad",
            host,
            ports: PORTS,
            heartbeatMs: 1_500,
            storeAddress: this.storeAddress,
            seedAddresses: [0, 1, 2].map(seed => `${this.hostOf(seed)}:${PORTS.control}`),
            isFirstStart,
        });
        const file = join(this.directory, `${vmId}.json`);
        const bounds = { ...settings.bounds, ...this.opts.bounds };
        writeFileSync(file, JSON.stringify({ ...settings, limits: { ...LIMITS, ...this.opts.limits }, bounds }));
        const [, command = ""] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, "deploy/system.toml"), "utf8")) ?? [];
        const [program = "", ...args] = command.split(" ");
        const log = openSync(join(this.directory, `${vmId}.log`), "a");
        const child = spawn(program, args, {
            cwd: ROOT,
            env: { PATH: process.env["PATH"], HOME: this.directory, MARIGOLDSTALL_CONFIG: file },
            stdio: ["ignore", log, log],
        });
        closeSync(log);
        child.on("exit", (code, signal) => this.record("entry-ended", { vmId, code, signal }));
        this.entries[index] = child;
        this.record("entry-started", { vmId });
        return child;
    }

    isRunning(index) {
        const { exitCode, signalCode } = this.entries[index];
        return exitCode === null && signalCode === null;
    }

    isReady(index) {
        return fetchStatus(`${this.hostOf(index)}:${PORTS.ready}`, { path: READY_PATH }).then(status => status === 200);
    }

    async waitUntilReady(index) {
        for (let tries = 0; !await this.isReady(index); tries += 1) {
            if (tries === READY_TRIES) {
                throw new Error(`entry VM ${index} did not become ready`);
            }
            await sleep(READY_INTERVAL_MS);
        }
    }

    callerAddress(index) {
        return { host: this.hostOf(index), port: PORTS.caller };
    }

    /** Sends a request on a connection of its own, as an ordinary client. */
    send(index, opts) {
        const { requestId, path = "/read/1", method = "GET", deadlineMs = 2_500, headers = {}, body, client } = opts;
        const sentAtMs = this.nowMs();
        return new Promise(done => {
            const settle = (outcome, status) => {
                clearTimeout(timer);
                const endedAtMs = this.nowMs();
                this.record("request", { client, requestId, vm: index, sentAtMs, outcome, status });
                done({ client, requestId, sentAtMs, endedAtMs, status, isAnswered: outcome === "answer" });
            };
            const request = httpRequest({
                ...this.callerAddress(index),
                method,
                path,
                agent: false,
                headers: {
                    "Host": PUBLIC_HOST,
                    "X-Request-Id": requestId,
                    "X-Deadline-Ms": deadlineMs,
                    ...headers,
                },
            }, response => {
                response.resume();
                response.on("end", () => settle("answer", response.statusCode));
                response.on("error", () => settle("cut", response.statusCode));
            });
            const timer = setTimeout(() => request.destroy(new Error("no answer in time")), deadlineMs);
            request.on("error", error => settle(error.message, undefined));
            request.end(body);
        });
    }

    /** Ends everything that was started and writes the record. */
    close(folder) {
        for (const child of [...this.entries, ...this.helpers]) {
            child?.kill("SIGKILL");
        }
        for (const server of this.servers) {
            server.close();
        }
        this.store.close();
        writeFileSync(join(folder, "record.txt"), `${this.lines.join("\n")}\n`);
        if (process.env["KEEP_LOG"] !== undefined) {
            for (const index of this.entries.keys()) {
                const log = readFileSync(join(this.directory, `front-bezigrad-${index + 1}.log`), "utf8");
                process.stdout.write(log.slice(-Number(process.env["KEEP_LOG"])));
            }
        }
        rmSync(this.directory, { recursive: true, force: true });
    }
}

/** Runs a case and exits with its result. */
export const runCase = async (folder, opts, act) => {
    const site = new Site(opts);
    let exitCode = EXIT.notRun;
    try {
        await site.start();
        exitCode = await act(site) ? EXIT.broken : EXIT.held;
    }
    catch (error) {
        site.record("error", { problem: String(error) });
    }
    site.record("exit", { exitCode });
    site.close(folder);
    process.exit(exitCode);
};

/** The longest time without an answer for ordinary clients, and how many of them tried in it. */
export const findSilence = results => {
    const sorted = [...results].sort((a, b) => a.sentAtMs - b.sentAtMs);
    const answers = sorted.filter(({ isAnswered }) => isAnswered).map(({ endedAtMs }) => endedAtMs);
    const edges = [sorted[0].sentAtMs, ...answers.sort((a, b) => a - b), sorted.at(-1).endedAtMs];
    return edges.slice(1).map((toMs, index) => {
        const fromMs = edges[index];
        const tried = sorted.filter(result =>
            !result.isAnswered && result.sentAtMs >= fromMs && result.endedAtMs <= toMs
        );
        return { fromMs, toMs, durationMs: toMs - fromMs, clients: new Set(tried.map(({ client }) => client)).size };
    }).sort((a, b) => b.durationMs - a.durationMs)[0];
};
