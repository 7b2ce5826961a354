import { Caller } from "@marigoldstall-private/caller";
import { checkGuarantees } from "@marigoldstall-private/demo";
import { findTargetsFile, luznik, runTool, Site } from "@marigoldstall-private/sites";
import type { SiteDaemon } from "@marigoldstall-private/sites";
import { expect } from "chai";
import { setTimeout as delay } from "node:timers/promises";

interface FaultCase {
    readonly title: string;
    readonly durationMs: number;
    /** Whether a daemon is killed, so that its calls in progress may get no response. */
    readonly killsDaemon: boolean;
    /** How long calls are awaited after the last one was sent. */
    readonly settleMs?: number;
    readonly run: (site: Site, daemon: SiteDaemon) => Promise<void>;
}

const DAEMON_COUNT = 4;
const READY_TIMEOUT_MS = 30_000;
const SETTLE_MS = 15_000;
// Longer than the lookahead of a bound (6 s) plus the silence of an owner before a takeover (3 s).
const LONG_PAUSE_MS = 11_000;
// Age of a copy that has none of the records that the log retains.
const RETENTION_MS = 3_600_000;
const TEST_TIMEOUT_MS = 120_000;

const layout = {
    ...luznik,
    services: luznik.services.filter(({ service }) => service === "crewcall"),
    classes: luznik.classes.filter(({ name }) => name === "crew-dispatch"),
};

const killAndRestart = async (site: Site, daemon: SiteDaemon): Promise<void> => {
    const killed = site.processOf(daemon);
    killed.kill("SIGKILL");
    await killed.exited;
    await delay(1000);
    await site.startDaemon(daemon);
};

const pauseAndResume = async (site: Site, daemon: SiteDaemon): Promise<void> => {
    site.processOf(daemon).kill("SIGSTOP");
    await delay(LONG_PAUSE_MS);
    site.processOf(daemon).kill("SIGCONT");
};

const duringLogOutage = async (site: Site, run: () => Promise<void>): Promise<void> => {
    await site.setLogFaults({ outage: "drop" });
    await run();
    await delay(2000);
    await site.setLogFaults({});
};

const cases: readonly FaultCase[] = [
    { title: "nothing fails", durationMs: 4000, killsDaemon: false, run: async () => undefined },
    {
        title: "a daemon is killed and restarts as a new incarnation",
        durationMs: 6000,
        killsDaemon: true,
        run: killAndRestart,
    },
    {
        title: "a daemon is paused for longer than any bound and resumes",
        durationMs: 15_000,
        killsDaemon: false,
        run: pauseAndResume,
    },
    {
        title: "the log is unavailable for longer than the lookahead of a bound",
        durationMs: 12_000,
        killsDaemon: false,
        run: async site => duringLogOutage(site, async () => delay(7000)),
    },
    {
        title: "the log loses responses to successful appends and returns old records again",
        durationMs: 8000,
        killsDaemon: false,
        run: async site => site.setLogFaults({ loseAppendAnswers: 40, repeatRecords: 20 }),
    },
    {
        title: "a daemon is killed while the log is unavailable",
        durationMs: 8000,
        killsDaemon: true,
        run: async (site, daemon) => duringLogOutage(site, async () => killAndRestart(site, daemon)),
    },
    {
        title: "a daemon is paused while the log is unavailable",
        durationMs: 16_000,
        killsDaemon: false,
        run: async (site, daemon) => duringLogOutage(site, async () => pauseAndResume(site, daemon)),
    },
    {
        // A daemon that reads the copy knows none of the terms by which the others grant keys.
        title: "the log is restored from an empty copy and a daemon is killed and restarts",
        durationMs: 14_000,
        killsDaemon: true,
        // No daemon takes over the shares, so calls wait for their owner until their deadline of 30 s.
        settleMs: 35_000,
        run: async (site, daemon) => {
            await site.setLogFaults({ restoreAgeMs: RETENTION_MS });
            await killAndRestart(site, daemon);
        },
    },
    {
        title: "one backend server crashes after a run and others drop, truncate or repeat responses",
        durationMs: 6000,
        killsDaemon: false,
        run: async site => {
            const [first, second, third, fourth] = site.backendServers;
            if (first === undefined || second === undefined || third === undefined || fourth === undefined) {
                throw new Error("the layout has too few backend servers");
            }
            await site.setBackendFaults(first, { crashAfterRun: true });
            await site.setBackendFaults(second, { loseAnswers: 5 });
            await site.setBackendFaults(third, { cutAnswers: 5 });
            await site.setBackendFaults(fourth, { duplicateAnswers: 5 });
        },
    },
];

const startSite = async (): Promise<Site> => {
    const site = await Site.start({ layout, daemons: DAEMON_COUNT, seed: 1 });
    const published = await runTool(site, { parameters: ["targets", "publish", findTargetsFile("luznik")] });
    expect(published.exitCode, published.stderr).to.equal(0);
    expect(await site.waitUntilReady({ withinMs: READY_TIMEOUT_MS })).to.deep.equal([]);
    return site;
};

describe("processes of a site", () => {
    describe("when each keyed request is sent twice through two daemons", () => {
        for (const { title, durationMs, killsDaemon, settleMs = SETTLE_MS, run } of cases) {
            it(`runs no request twice and violates no guarantee when ${title}`, async function() {
                this.timeout(TEST_TIMEOUT_MS);
                const site = await startSite();
                try {
                    const [faultyDaemon, ...others] = site.daemons;
                    if (faultyDaemon === undefined) {
                        throw new Error("the site has no daemons");
                    }
                    const caller = new Caller({
                        entries: [faultyDaemon.callerAddress, ...others.map(daemon => daemon.callerAddress)],
                        classes: layout.classes.map(load => ({ ...load, duplicateShare: 1, duplicateWithinMs: 500 })),
                        seed: 1,
                        durationMs,
                        settleMs,
                    });
                    const running = caller.run();
                    await delay(1500);
                    const killedAtMs = performance.timeOrigin + performance.now();
                    await run(site, faultyDaemon);
                    const report = await running;
                    const results = checkGuarantees({
                        calls: report.calls,
                        backendRecords: await site.records(),
                        probesPerSecond: 20,
                        kills: killsDaemon ? [{ entry: faultyDaemon.callerAddress, atMs: killedAtMs }] : [],
                        stoppedEntry: "",
                        stoppedExitStatus: 0,
                        leavingVmId: "",
                        configuration: {
                            inForceAfterMs: undefined,
                            newVmReadyAfterMs: undefined,
                            finalVersions: [],
                            publishedVersion: undefined,
                        },
                    });
                    const violations = results.filter(result => result.status === "not held");
                    expect(violations, JSON.stringify(violations)).to.deep.equal([]);
                    // Rejecting all requests would also satisfy the guarantees.
                    const keys = new Set(report.calls.map(call => call.idempotencyKey));
                    const completed = new Set(
                        report.calls.filter(call => call.outcome === "completed").map(call => call.idempotencyKey),
                    );
                    expect(completed.size).to.be.above(keys.size / 2);
                }
                finally {
                    await site.stop();
                }
            });
        }
    });
});
