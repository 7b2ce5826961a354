import { buildVmSettings, fetchStatus, READY_PATH, SETTINGS_VARIABLE } from "@marigoldstall-private/platform";
import { expect } from "chai";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

const PROGRAM = resolve("target/marigoldstall-entry.cjs");
const HOST = `127.${40 + process.pid % 20}.${Math.floor(process.pid / 20) % 250}.1`;
const PORTS = { caller: 28_841, ready: 28_840, control: 28_849, fleet: 27_820, metrics: 28_864 };
// Each line of the log has the id of the VM, so that a few lines fill the buffer of the pipe.
const LONG_ID_LENGTH = 200_000;
const STATUS_UNAVAILABLE = 503;
const POLL_INTERVAL_MS = 20;
const LOG_WRITTEN_MS = 1_000;
const TEST_TIMEOUT_MS = 30_000;

describe("The program of an entry VM whose standard output nobody reads", () => {
    let directory: string;
    let daemon: ChildProcess;

    beforeEach(() => {
        directory = mkdtempSync(join(tmpdir(), "marigoldstall-output-"));
        const settingsFile = join(directory, "settings.json");
        writeFileSync(
            settingsFile,
            JSON.stringify(buildVmSettings({
                vmId: "v".repeat(LONG_ID_LENGTH),
                availabilityZone: "zone-0",
                host: HOST,
                ports: PORTS,
                heartbeatMs: 1_500,
                storeAddress: `${HOST}:1`,
                seedAddresses: [],
            })),
        );
        daemon = spawn(process.execPath, [PROGRAM], {
            stdio: ["ignore", "pipe", "inherit"],
            env: { ...process.env, [SETTINGS_VARIABLE]: settingsFile },
        });
    });

    afterEach(() => {
        daemon.kill("SIGKILL");
        rmSync(directory, { recursive: true, force: true });
    });

    // A write of the log held a thread, for which the process waited at its end, with its ports still open.
    it("goes on, and ends with 0 on SIGTERM", async () => {
        while (await fetchStatus(`${HOST}:${PORTS.ready}`, { path: READY_PATH }) !== STATUS_UNAVAILABLE) {
            await sleep(POLL_INTERVAL_MS);
        }
        await sleep(LOG_WRITTEN_MS);
        const exited = once(daemon, "exit");
        daemon.kill("SIGTERM");
        expect(await exited).to.deep.equal([0, JSON.parse("null")]);
    }).timeout(TEST_TIMEOUT_MS);
});
