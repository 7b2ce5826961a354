import { ManagedProcess } from "@marigoldstall-private/sites";
import { expect } from "chai";
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const PROGRAM = resolve("target/marigoldstall-entry.cjs");
const DAEMON_FILE = "marigoldstall-entry-program.cjs";
const EXIT_START_FAILED = 2;
const EXIT_USAGE = 2;
const MAX_MESSAGE_BYTES = 2_000;
const CUT_OFF_AT = 300_000;
const TEST_TIMEOUT_MS = 60_000;

// On the users' machines the system did not start, or its processes ended by themselves (rule FAULT).
describe("The program of an entry VM on a machine with faults", () => {
    let directory: string;

    beforeEach(() => {
        directory = mkdtempSync(join(tmpdir(), "marigoldstall-environment-"));
        copyFileSync(PROGRAM, join(directory, "marigoldstall-entry.cjs"));
    });

    afterEach(() => {
        rmSync(directory, { recursive: true, force: true });
    });

    // The process must not run with another limit than the operator meant.
    it("ends at once with the reason if the share of hedges is no number from 0 to 1", async () => {
        copyFileSync(resolve("target", DAEMON_FILE), join(directory, DAEMON_FILE));
        const daemon = new ManagedProcess({
            name: "vm-0",
            command: [process.execPath, join(directory, "marigoldstall-entry.cjs"), "--hedge-share", "5%"],
            logFile: join(directory, "vm-0.log"),
        });
        expect(await daemon.exited).to.equal(EXIT_USAGE);
        const log = readFileSync(join(directory, "vm-0.log"), "utf8");
        expect(log).to.contain("ERR_MARIGOLDSTALL_HEDGE_SHARE_INVALID").and.to.contain("--hedge-share is \"5%\"");
    }).timeout(TEST_TIMEOUT_MS);

    // A process whose daemon could not be loaded ended with a bare stack trace. If the file was cut off, the trace came
    // after a line of the bundle with 19 KB.
    for (
        const [description, readDaemon] of [
            ["missing", () => undefined],
            ["empty", () => ""],
            ["cut off", () => readFileSync(resolve("target", DAEMON_FILE), "utf8").slice(0, CUT_OFF_AT)],
        ] as const
    ) {
        it(`names the file of the daemon when it is ${description}`, async () => {
            const text = readDaemon();
            if (text !== undefined) {
                writeFileSync(join(directory, DAEMON_FILE), text);
            }
            const daemon = new ManagedProcess({
                name: "vm-0",
                command: [process.execPath, join(directory, "marigoldstall-entry.cjs")],
                logFile: join(directory, "vm-0.log"),
            });
            expect(await daemon.exited).to.equal(EXIT_START_FAILED);
            const log = readFileSync(join(directory, "vm-0.log"), "utf8");
            expect(log).to.contain("ERR_MARIGOLDSTALL_START_FAILED").and.to.contain(DAEMON_FILE);
            expect(log.length).to.be.below(MAX_MESSAGE_BYTES);
        }).timeout(TEST_TIMEOUT_MS);
    }
});
