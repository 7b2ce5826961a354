import { Caller } from "@marigoldstall-private/caller";
import { checkPromises } from "@marigoldstall-private/demo";
import { findTargetsFile, luznik, runTool, Site } from "@marigoldstall-private/sites";
import type { SiteDaemon } from "@marigoldstall-private/sites";
import { expect } from "chai";
import { setTimeout as delay } from "node:timers/promises";

interface FaultCase {
    readonly title: string;
    readonly durationMs: number;
    /** Whether some daemon is killed, so that callers of it may be left without an answer. */
    readonly kills: boolean;
    readonly run: (site: Site, daemon: SiteDaemon) => Promise<void>;
}

const DAEMONS = 4;
const READY_WITHIN_MS = 30_000;
const SETTLE_MS = 15_000;
// Longer than the lookahead of a bound (6 s) and the silence before a take-over (3 s) together.
const LONG_PAUSE_MS = 11_000;
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

const pause = async (site: Site, daemon: SiteDaemon): Promise<void> => {
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
    { title: "nothing fails", durationMs: 4000, kills: false, run: async () => undefined },
    {
        title: "a daemon is killed and comes back as a new incarnation",
        durationMs: 6000,
        kills: true,
        run: killAndRestart,
    },
    { title: "a daemon is paused for longer than any bound and resumes", durationMs: 15_000, kills: false, run: pause },
    {
        title: "the log is down for longer than a bound that it extended",
        durationMs: 12_000,
        kills: false,
        run: async site => duringLogOutage(site, async () => delay(7000)),
    },
    {
        title: "the log loses the answers of appends that took effect and hands out old records again",
        durationMs: 8000,
        kills: false,
        run: async site => site.setLogFaults({ loseAppendAnswers: 40, repeatRecords: 20 }),
    },
    {
        title: "a daemon is killed while the log is down",
        durationMs: 8000,
        kills: true,
        run: async (site, daemon) => duringLogOutage(site, async () => killAndRestart(site, daemon)),
    },
    {
        title: "a daemon is paused while the log is down",
        durationMs: 16_000,
        kills: false,
        run: async (site, daemon) => duringLogOutage(site, async () => pause(site, daemon)),
    },
    {
        title: "backend servers crash after a run, and others lose, cut or repeat answers",
        durationMs: 6000,
        kills: false,
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
    const site = await Site.start({ layout, daemons: DAEMONS, seed: 1 });
    const published = await runTool(site, { parameters: ["targets", "publish", findTargetsFile("luznik")] });
    expect(published.exitCode, published.stderr).to.equal(0);
    expect(await site.waitUntilReady({ withinMs: READY_WITHIN_MS })).to.deep.equal([]);
    return site;
};

describe("processes of a site", () => {
    describe("when each keyed request is sent twice through two daemons", () => {
        for (const { title, durationMs, kills, run } of cases) {
            it(`runs none twice and tells no untruth when ${title}`, async function() {
                this.timeout(TEST_TIMEOUT_MS);
                const site = await startSite();
                try {
                    const [faulty, ...others] = site.daemons;
                    if (faulty === undefined) {
                        throw new Error("the site has no daemons");
                    }
                    const caller = new Caller({
                        entries: [faulty.callerAddress, ...others.map(daemon => daemon.callerAddress)],
                        classes: layout.classes.map(load => ({ ...load, duplicateShare: 1, duplicateWithinMs: 500 })),
                        seed: 1,
                        durationMs,
                        settleMs: SETTLE_MS,
                    });
                    const running = caller.run();
                    await delay(1500);
                    const killedAtMs = performance.timeOrigin + performance.now();
                    await run(site, faulty);
                    const report = await running;
                    const results = checkPromises({
                        calls: report.calls,
                        records: await site.records(),
                        probesPerSecond: 20,
                        kills: kills ? [{ entry: faulty.callerAddress, atMs: killedAtMs }] : [],
                        stoppedEntry: "",
                        stoppedExit: 0,
                        leavingVmId: "",
                        configuration: {
                            inForceAfterMs: undefined,
                            newVmReadyAfterMs: undefined,
                            versionsAtEnd: [],
                            publishedVersion: undefined,
                        },
                    });
                    const broken = results.filter(result => result.verdict === "not held");
                    expect(broken, JSON.stringify(broken)).to.deep.equal([]);
                    // Refusing all requests would keep the promises too.
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
