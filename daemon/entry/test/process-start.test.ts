import {
    buildVmSettings,
    fetchStatus,
    PlatformServer,
    READY_PATH,
    SETTINGS_VARIABLE,
    StoreStandIn,
} from "@marigoldstall-private/platform";
import { ManagedProcess } from "@marigoldstall-private/sites";
import { expect } from "chai";
import { createSocket } from "node:dgram";
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { connect, createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

const PROGRAM = resolve("target/marigoldstall-entry.cjs");
const PORTS = { caller: 28_841, ready: 28_840, control: 28_849, fleet: 27_820, metrics: 28_864 };
const SERVICE = "one";
const STATUS_OK = 200;
const POLL_INTERVAL_MS = 20;
const HOLD_MS = 700;
// Settings of a process that would give up waiting for its ports after a second.
const SHORT_GRACE = { from: "\"grace\":\"6s\"", to: "\"grace\":\"1s\"" };
const LONG_HOLD_MS = 2_500;
// Longer than a process without ports or settings needs to end, shorter than a graceful shutdown.
const PROMPT_EXIT_MS = 1_500;
// Longer than the 3 s for which settings were read.
const UNREADABLE_MS = 3_500;
const TEST_TIMEOUT_MS = 60_000;

let hostCount = 0;

// Test processes that run at the same time use different subnets of the loopback network.
const nextHost = (): string => {
    hostCount += 1;
    return `127.${10 + process.pid % 20}.${Math.floor(process.pid / 20) % 250}.${hostCount}`;
};

// On the users' machines the system did not start, or its processes ended by themselves (rule FAULT).
describe("The program of an entry VM", () => {
    let directory: string;
    let host: string;
    let store: StoreStandIn;
    let server: PlatformServer;
    let settings: string;
    let holder: Server | undefined;
    let daemon: ManagedProcess | undefined;

    beforeEach(async () => {
        directory = mkdtempSync(join(tmpdir(), "marigoldstall-start-"));
        host = nextHost();
        store = new StoreStandIn();
        const storeAddress = await store.listen(host);
        server = new PlatformServer({ instanceId: "a", workMs: () => 0, onRun: () => undefined });
        await server.listen(host);
        store.publish({ version: 1, host: "start.example", service: SERVICE });
        store.register({
            instanceId: "a",
            startedAtUnixMs: 1,
            service: SERVICE,
            address: `${host}:${server.port}`,
            availabilityZone: "zone-0",
            slots: 2,
            isDraining: false,
        });
        settings = JSON.stringify(buildVmSettings({
            vmId: "vm-0",
            availabilityZone: "zone-0",
            host,
            ports: PORTS,
            heartbeatMs: 1_500,
            storeAddress,
            seedAddresses: [],
        }));
        writeFileSync(join(directory, "settings.json"), settings);
    });

    afterEach(async () => {
        if (daemon?.running === true) {
            process.kill(daemon.pid, "SIGKILL");
        }
        daemon = undefined;
        await new Promise<void>(done => {
            if (holder === undefined) {
                done();
            }
            else {
                holder.close(() => {
                    done();
                });
            }
        });
        holder = undefined;
        server.close();
        store.close();
        rmSync(directory, { recursive: true, force: true });
    });

    const start = (program = PROGRAM, environment: Readonly<Record<string, string>> = {}): ManagedProcess => {
        daemon = new ManagedProcess({
            name: "vm-0",
            command: [process.execPath, "--max-old-space-size=160", program, "--metrics-port", String(PORTS.metrics)],
            logFile: join(directory, "vm-0.log"),
            environment: { [SETTINGS_VARIABLE]: join(directory, "settings.json"), ...environment },
        });
        return daemon;
    };

    const hold = async (port: number): Promise<void> => {
        holder = createServer();
        await new Promise<void>(done => {
            holder?.listen(port, host, done);
        });
    };

    const holdDatagrams = async (port: number): Promise<() => void> => {
        const socket = createSocket("udp4");
        await new Promise<void>(done => {
            socket.bind({ address: host, port }, done);
        });
        return () => {
            socket.close();
        };
    };

    // The local address of the connection has a port of the ephemeral range, as that of any other process may have.
    const holdByConnection = async (): Promise<{ readonly address: string; readonly release: () => void; }> => {
        const peer = createServer(socket => {
            socket.on("error", () => undefined);
        });
        await new Promise<void>(done => {
            peer.listen(0, host, done);
        });
        const bound = peer.address();
        const socket = connect({ host, port: typeof bound === "object" ? bound?.port ?? 0 : 0 });
        await new Promise<void>(done => {
            socket.once("connect", done);
        });
        return {
            address: `${socket.localAddress}:${socket.localPort}`,
            release: () => {
                // A reset leaves no port in TIME_WAIT.
                socket.resetAndDestroy();
                peer.close();
            },
        };
    };

    const expectPromptExit = async (ending: ManagedProcess): Promise<void> => {
        const signalledAtMs = performance.now();
        process.kill(ending.pid, "SIGTERM");
        expect(await ending.exited, readLog()).to.equal(0);
        expect(performance.now() - signalledAtMs).to.be.lessThan(PROMPT_EXIT_MS);
    };

    const readLog = (): string => readFileSync(join(directory, "vm-0.log"), "utf8");

    const waitForLog = async (text: string): Promise<void> => {
        while (!readLog().includes(text)) {
            expect(daemon?.running, readLog()).to.equal(true);
            await sleep(POLL_INTERVAL_MS);
        }
    };

    const waitUntilReady = async (): Promise<void> => {
        while (await fetchStatus(`${host}:${PORTS.ready}`, { path: READY_PATH }) !== STATUS_OK) {
            expect(daemon?.running, readLog()).to.equal(true);
            await sleep(POLL_INTERVAL_MS);
        }
    };

    // SIGHUP, which tells that the settings changed, ended a process in the first 0.1 s after its start.
    it("handles SIGHUP and SIGTERM before it has loaded the daemon", async () => {
        const program = join(directory, "marigoldstall-entry.cjs");
        copyFileSync(PROGRAM, program);
        writeFileSync(
            join(directory, "marigoldstall-entry-program.cjs"),
            "process.stdout.write('loading\\n');"
                + "exports.runEntryProgram = () => new Promise(done => { setTimeout(done, 60000); });",
        );
        const loading = start(program);
        while (!readLog().includes("loading")) {
            await sleep(POLL_INTERVAL_MS);
        }
        process.kill(loading.pid, "SIGHUP");
        await sleep(HOLD_MS);
        expect(loading.running).to.equal(true);
        process.kill(loading.pid, "SIGTERM");
        expect(await loading.exited).to.equal(0);
    }).timeout(TEST_TIMEOUT_MS);

    // SIGHUP ended processes that were restarted while settings changed: its default action holds until Node.js runs the
    // first file of the program.
    it("goes on when SIGHUP comes at any moment of its first 200 ms", async () => {
        const stepMs = 20;
        const ended: string[] = [];
        for (let delayMs = 0; delayMs <= 200; delayMs += stepMs) {
            const starting = start();
            await sleep(delayMs);
            starting.kill("SIGHUP");
            const end = await Promise.race([starting.exited, sleep(HOLD_MS)]);
            if (end !== undefined) {
                ended.push(`${end} after ${delayMs} ms`);
            }
            starting.kill("SIGKILL");
            await starting.exited;
        }
        expect(ended).to.deep.equal([]);
    }).timeout(TEST_TIMEOUT_MS);

    // The logs of a process that SIGHUP had ended during its start did not differ from those of one that never ran.
    it("logs that it handles signals, and which settings changed at SIGHUP", async () => {
        const reloaded = start();
        await waitForLog("\"kind\":\"started\"");
        expect(readLog().split("\n")[0]).to.contain("\"kind\":\"loading\"");
        writeFileSync(join(directory, "settings.json"), settings.replace("\"bootstrap\":false", "\"bootstrap\":true"));
        reloaded.kill("SIGHUP");
        await waitForLog("\"changed\":[\"isFirstStart\"]");
        expect(reloaded.running).to.equal(true);
    }).timeout(TEST_TIMEOUT_MS);

    for (const name of ["caller", "ready", "control"] as const) {
        // A process that ended when it found a port in use was restarted and ended again.
        it(`waits for the ${name} port while another process holds it`, async () => {
            await hold(PORTS[name]);
            start();
            await waitForLog("port-unavailable");
            await new Promise(done => {
                holder?.close(done);
            });
            holder = undefined;
            await waitUntilReady();
        }).timeout(TEST_TIMEOUT_MS);
    }

    it("serves callers while another process holds the metrics port", async () => {
        await hold(PORTS.metrics);
        start();
        await waitUntilReady();
        await waitForLog("\"name\":\"metrics\"");
    }).timeout(TEST_TIMEOUT_MS);

    for (const [description, text] of [["empty", ""], ["cut off", "{\"nodeName\":"]] as const) {
        it(`waits for the rest of settings that are ${description} at the start`, async () => {
            writeFileSync(join(directory, "settings.json"), text);
            start();
            await waitForLog("\"kind\":\"settings-unavailable\"");
            writeFileSync(join(directory, "settings.json"), settings);
            await waitUntilReady();
        }).timeout(TEST_TIMEOUT_MS);
    }

    // Guards against a SIGHUP that is lost from the metrics because it came before the daemon handled signals.
    it("counts a SIGHUP that comes while its settings are not complete", async () => {
        writeFileSync(join(directory, "settings.json"), "");
        const loading = start();
        await waitForLog("\"kind\":\"loading\"");
        loading.kill("SIGHUP");
        await sleep(HOLD_MS);
        writeFileSync(join(directory, "settings.json"), settings);
        await waitUntilReady();
        const metrics = await fetch(`http://${host}:${PORTS.metrics}/metrics`).then(response => response.text());
        expect(metrics).to.contain("marigoldstall_signals_total{signal=\"SIGHUP\"} 1\n");
    }).timeout(TEST_TIMEOUT_MS);

    // A process that ended with status 2 was started again by the platform and ended again.
    it("goes on reading settings that stay unreadable, and names the file in its log", async () => {
        rmSync(join(directory, "settings.json"));
        const waiting = start();
        await sleep(UNREADABLE_MS);
        expect(waiting.running, readLog()).to.equal(true);
        await waitForLog("\"kind\":\"settings-unavailable\"");
        expect(readLog()).to.contain("ERR_MARIGOLDSTALL_SETTINGS_UNREADABLE").and.to.contain("settings.json");
        writeFileSync(join(directory, "settings.json"), settings);
        await waitUntilReady();
        waiting.kill("SIGTERM");
        expect(await waiting.exited).to.equal(0);
    }).timeout(TEST_TIMEOUT_MS);

    it("goes on reading settings without a required field, and names the field in its log", async () => {
        const { zone, ...incomplete } = JSON.parse(settings) as Readonly<Record<string, unknown>>;
        expect(zone).to.equal("zone-0");
        writeFileSync(join(directory, "settings.json"), JSON.stringify(incomplete));
        const waiting = start();
        await waitForLog("\"kind\":\"settings-unavailable\"");
        expect(readLog()).to.contain("ERR_MARIGOLDSTALL_PLATFORM_MALFORMED").and.to.contain("zone");
        await expectPromptExit(waiting);
    }).timeout(TEST_TIMEOUT_MS);

    // Each try added listeners to the same server, and no try at such an address could succeed. Settings with an empty
    // platform address or IP address were taken as complete, and the file was not read again.
    for (
        const [description, toIncomplete] of [
            ["a listen address without a host", () => settings.replace(`"${host}:${PORTS.ready}"`, `"${PORTS.ready}"`)],
            ["an empty platform address", () => settings.replace(/("platform":\{"address":")[^"]+/, "$1")],
            ["an empty IP address", () => settings.replace(`"ip":"${host}"`, "\"ip\":\"\"")],
        ] as const
    ) {
        it(`takes ${description} for settings that are not complete yet`, async () => {
            expect(toIncomplete()).not.to.equal(settings);
            writeFileSync(join(directory, "settings.json"), toIncomplete());
            start();
            await waitForLog("\"kind\":\"settings-unavailable\"");
            writeFileSync(join(directory, "settings.json"), settings);
            await waitUntilReady();
            expect(readLog()).not.to.contain("MaxListenersExceededWarning");
        }).timeout(TEST_TIMEOUT_MS);
    }

    it("ends at once with status 2 when the variable that names the settings file is not set", async () => {
        const ending = start(PROGRAM, { [SETTINGS_VARIABLE]: "" });
        await waitForLog("\"kind\":\"loading\"");
        const loadingAtMs = performance.now();
        expect(await ending.exited).to.equal(2);
        expect(performance.now() - loadingAtMs).to.be.lessThan(PROMPT_EXIT_MS);
        expect(readLog()).to.contain(SETTINGS_VARIABLE);
    }).timeout(TEST_TIMEOUT_MS);

    // Fields of matters that are not open may be empty, and the process ended with status 2 at each start.
    it("serves with defaults for optional settings and logs their names", async () => {
        const fields = JSON.parse(settings) as Readonly<Record<string, unknown>>;
        const partial = { ...fields, seeds: "", bootstrap: "", limits: {}, heartbeat: "", bounds: undefined };
        writeFileSync(join(directory, "settings.json"), JSON.stringify(partial));
        start();
        await waitUntilReady();
        await waitForLog("\"kind\":\"settings-defaulted\"");
        expect(readLog()).to.contain("\"limits.cpuShare\"").and.to.contain("\"bounds.grace\"");
    }).timeout(TEST_TIMEOUT_MS);

    // Guards against an error in the use of a malformed seed that ends the process or its joining of the fleet.
    it("serves when the seeds are no addresses", async () => {
        const seeds = ["", ":", "seed", "127.0.0.1:99999", "[::1", "127.0.0.1:-1"];
        const fields = JSON.parse(settings) as Readonly<Record<string, unknown>>;
        writeFileSync(join(directory, "settings.json"), JSON.stringify({ ...fields, seeds }));
        start();
        await waitUntilReady();
        await waitForLog("\"kind\":\"joined\"");
    }).timeout(TEST_TIMEOUT_MS);

    for (const name of ["caller", "ready", "control"] as const) {
        // A process that gave up on its ports was started again, gave up again, and was counted as ending by itself.
        it(`waits for the ${name} port for longer than its grace period`, async () => {
            writeFileSync(join(directory, "settings.json"), settings.replace(SHORT_GRACE.from, SHORT_GRACE.to));
            await hold(PORTS[name]);
            const waiting = start();
            await waitForLog("port-unavailable");
            await sleep(LONG_HOLD_MS);
            expect(waiting.running, readLog()).to.equal(true);
            expect(readLog().split("port-unavailable")).to.have.length(2);
            await new Promise(done => {
                holder?.close(done);
            });
            holder = undefined;
            await waitUntilReady();
            expect(readLog()).not.to.contain("MaxListenersExceededWarning");
        }).timeout(TEST_TIMEOUT_MS);
    }

    // A connection of another process may have a listening port as its local port for as long as it stays open.
    it("waits for a port that a connection of another process uses", async () => {
        const { address, release } = await holdByConnection();
        try {
            const moved = settings.replace(`${host}:${PORTS.control}`, address);
            writeFileSync(join(directory, "settings.json"), moved.replace(SHORT_GRACE.from, SHORT_GRACE.to));
            const waiting = start();
            await waitForLog("port-unavailable");
            await sleep(LONG_HOLD_MS);
            // The tests above show that the port is opened once it is free. This one may then be in TIME_WAIT for a
            // minute, by connections of other processes of the machine.
            await expectPromptExit(waiting);
        }
        finally {
            release();
        }
    }).timeout(TEST_TIMEOUT_MS);

    // A datagram that was sent before the port was bound bound the socket to another port, so that it failed for good.
    it("waits for the fleet port while it handles requests", async () => {
        writeFileSync(join(directory, "settings.json"), settings.replace(SHORT_GRACE.from, SHORT_GRACE.to));
        const release = await holdDatagrams(PORTS.fleet);
        const waiting = start();
        await waitForLog("port-unavailable");
        await fetchStatus(`${host}:${PORTS.caller}`, { path: "/" });
        await sleep(LONG_HOLD_MS);
        expect(waiting.running, readLog()).to.equal(true);
        expect(await fetchStatus(`${host}:${PORTS.ready}`, { path: READY_PATH })).not.to.equal(STATUS_OK);
        expect(readLog()).not.to.contain("datagram-problem");
        release();
        await waitUntilReady();
    }).timeout(TEST_TIMEOUT_MS);

    it("ends at once with status 0 at SIGTERM while it waits for a port", async () => {
        await hold(PORTS.control);
        const waiting = start();
        await waitForLog("port-unavailable");
        await expectPromptExit(waiting);
    }).timeout(TEST_TIMEOUT_MS);
});
