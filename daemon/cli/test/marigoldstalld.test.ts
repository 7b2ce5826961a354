import { BackendServer } from "@marigoldstall-private/backend-server";
import { LogStandIn } from "@marigoldstall-private/log";
import { VmListStandIn } from "@marigoldstall-private/vm-list";
import { expect } from "chai";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const MAIN = fileURLToPath(new URL("../lib/main.js", import.meta.url));

// Loaded before the daemon: no port is ever opened, and the first try writes a line.
const NEVER_LISTENING = `data:text/javascript,${
    encodeURIComponent(`
        import { Server } from "node:net";
        setInterval(() => undefined, 1000);
        Server.prototype.listen = function () {
            process.stdout.write("opening a port\\n");
            return this;
        };
    `)
}`;

const TARGETS = {
    site: "test",
    measuring: { probesPerSecond: 5 },
    classes: [{
        name: "check",
        service: "statusdesk",
        urgency: "urgent",
        repeatable: true,
        lateness: { percentile: 99, withinMs: 1000 },
        turnedAwayAtMostPercent: 1,
        match: [{ methods: ["GET"], pathPrefix: "/status" }],
    }],
};

interface DaemonProcess {
    readonly child: ChildProcess;
    readonly output: () => string;
    readonly exited: Promise<number>;
}

const spawnDaemon = (...flags: readonly string[]): DaemonProcess => {
    const child = spawn(process.execPath, [MAIN, ...flags], { stdio: ["ignore", "pipe", "pipe"] });
    let output = "";
    for (const stream of [child.stdout, child.stderr]) {
        stream.setEncoding("utf8");
        stream.on("data", text => {
            output += String(text);
        });
    }
    return { child, output: () => output, exited: once(child, "exit").then(([code]) => code as number) };
};

/** Returns ports that were free at the time of the call. */
const findFreePorts = async (count: number): Promise<readonly number[]> => {
    const servers = Array.from({ length: count }, () => createServer());
    await Promise.all(servers.map(server => new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};

describe("marigoldstalld", () => {
    const directory = mkdtempSync(join(tmpdir(), "marigoldstalld-"));
    const file = join(directory, "settings.yaml");
    let log: LogStandIn;
    let vmList: VmListStandIn;

    before(async () => {
        log = await LogStandIn.start();
        vmList = await VmListStandIn.start();
    });

    after(async () => {
        await log.close();
        await vmList.close();
        rmSync(directory, { recursive: true });
    });

    const writeSettings = async (control?: string): Promise<readonly number[]> => {
        const ports = await findFreePorts(3);
        writeFileSync(
            file,
            [
                "vm: { id: entry-1, region: osrednja, availabilityZone: bezigrad }",
                "listen:",
                `  caller: "127.0.0.1:${ports[0]}"`,
                `  control: "${control ?? `127.0.0.1:${ports[1]}`}"`,
                `  operator: "127.0.0.1:${ports[2]}"`,
                `platform: { log: "${log.address}", vmList: "${vmList.address}", logRetentionMs: 3600000 }`,
                "security: { controlKey: a control key of at least 32 characters }",
                "stop: { noticeMs: 300 }",
            ].join("\n"),
        );
        return ports;
    };

    it("prints its version and exits with 0", async () => {
        const { exited, output } = spawnDaemon("--version");
        expect(await exited).to.equal(0);
        expect(output()).to.match(/^\d+\.\d+\.\d+\n$/);
    });

    const usageErrors: readonly (readonly [string, readonly string[], string])[] = [
        ["without settings", [], "--settings"],
        ["with an unknown policy", ["--settings", file, "--policy", "best"], "slot-aware"],
        ["with a settings file that does not exist", ["--settings", `${file}.absent`], "SETTINGS_UNREADABLE"],
    ];
    for (const [name, flags, text] of usageErrors) {
        it(`exits with 2 and an error message when started ${name}`, async () => {
            const { exited, output } = spawnDaemon(...flags);
            expect(await exited).to.equal(2);
            expect(output()).to.contain(text);
        });
    }

    it("exits with 2 and names the invalid key when the settings are invalid", async () => {
        await writeSettings("localhost:7200");
        const { exited, output } = spawnDaemon("--settings", file);
        expect(await exited).to.equal(2);
        expect(output()).to.contain("SETTINGS_INVALID").and.to.contain("listen.control");
    });

    it("exits with 2 when a port is in use", async () => {
        const occupyingServer = createServer();
        await new Promise<void>(resolve => occupyingServer.listen(0, "127.0.0.1", resolve));
        await writeSettings(`127.0.0.1:${(occupyingServer.address() as AddressInfo).port}`);
        const { exited, output } = spawnDaemon("--settings", file);
        expect(await exited).to.equal(2);
        expect(output()).to.contain("PORT_UNAVAILABLE");
        occupyingServer.close();
    });

    it("completes all requests in flight when it receives SIGTERM twice under load", async () => {
        const backend = await BackendServer.start({
            service: "statusdesk",
            serviceTime: { distribution: "constant", meanMs: 50 },
        });
        vmList.add({
            vmId: "statusdesk-1",
            role: "statusdesk",
            address: backend.address,
            availabilityZone: "bezigrad",
            state: "live",
        });
        await fetch(`http://${log.address}/streams/configuration/records`, {
            method: "POST",
            body: JSON.stringify({ publishId: "p1", version: 1, parentVersion: 0, author: "test", targets: TARGETS }),
        });
        const ports = await writeSettings();
        const { child, exited } = spawnDaemon("--settings", file);
        const isReady = (): Promise<boolean> =>
            fetch(`http://127.0.0.1:${ports[2]}/readyz`).then(response => response.status === 200, () => false);
        while (!await isReady()) {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        const statusCodes: (number | string)[] = [];
        let isSending = true;
        const load = [1, 2, 3].map(async () => {
            while (isSending) {
                // Without keep-alive: the platform's load balancer gives a caller a new connection when one is closed.
                statusCodes.push(
                    await fetch(`http://127.0.0.1:${ports[0]}/statusdesk/status`, {
                        headers: { Connection: "close" },
                    }).then(async response => {
                        await response.text();
                        return response.status;
                    }, String),
                );
            }
        });
        while (statusCodes.length < 5) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        child.kill("SIGTERM");
        await new Promise(resolve => setTimeout(resolve, 100));
        child.kill("SIGTERM");
        // The platform's load balancer detects the stop within `stop.noticeMs` (300 ms) and sends no more requests.
        isSending = false;
        await Promise.all(load);
        expect(await exited).to.equal(0);
        expect(statusCodes.filter(statusCode => statusCode !== 200)).to.deep.equal([]);
        await backend.close();
    });

    // SIGHUP ended the daemon with all its requests, as it had its default action.
    it("goes on when it receives SIGHUP", async () => {
        const ports = await writeSettings();
        const { child, exited, output } = spawnDaemon("--settings", file);
        while (!output().includes("started")) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        child.kill("SIGHUP");
        let isRunning = true;
        void exited.then(() => {
            isRunning = false;
        });
        while (!output().includes("SIGHUP received")) {
            expect(isRunning, output()).to.equal(true);
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        expect((await fetch(`http://127.0.0.1:${ports[2]}/livez`)).status).to.equal(200);
        child.kill("SIGTERM");
        expect(await exited).to.equal(0);
    });

    // The write of a line that nobody reads raised EPIPE as an uncaught error, which ended the daemon with status 1.
    it("goes on when it receives SIGHUP after the reader of its output has ended", async () => {
        const ports = await writeSettings();
        const { child, exited, output } = spawnDaemon("--settings", file);
        while (!output().includes("started")) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        let isRunning = true;
        void exited.then(() => {
            isRunning = false;
        });
        child.stdout?.destroy();
        child.stderr?.destroy();
        child.kill("SIGHUP");
        // No line tells that the signal was handled.
        await new Promise(resolve => setTimeout(resolve, 300));
        expect(isRunning).to.equal(true);
        expect((await fetch(`http://127.0.0.1:${ports[2]}/livez`)).status).to.equal(200);
        child.kill("SIGTERM");
        expect(await exited).to.equal(0);
    });

    // The signals had their default action until the ports were open, so that a stop during the start was a failure.
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        it(`exits with 0 on ${signal} while it opens its ports`, async () => {
            await writeSettings();
            const child = spawn(process.execPath, ["--import", NEVER_LISTENING, MAIN, "--settings", file], {
                stdio: ["ignore", "pipe", "ignore"],
            });
            const exited = once(child, "exit").then(([code]) => code as number);
            await once(child.stdout, "data");
            child.kill(signal);
            expect(await exited).to.equal(0);
        });
    }

    it("exits with 0 on SIGTERM, and a second SIGTERM has no effect", async () => {
        const ports = await writeSettings();
        const { child, exited, output } = spawnDaemon("--settings", file);
        while (!output().includes("started")) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        expect((await fetch(`http://127.0.0.1:${ports[2]}/livez`)).status).to.equal(200);
        child.kill("SIGTERM");
        while (!output().includes("SIGTERM")) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        child.kill("SIGTERM");
        expect(await exited).to.equal(0);
        expect(output().match(/SIGTERM received/g)).to.have.length(2);
    });
});
