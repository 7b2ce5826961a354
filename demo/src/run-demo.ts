import { Caller } from "@marigoldstall-private/caller";
import { findTargetsFile, Site } from "@marigoldstall-private/sites";
import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { parse } from "yaml";
import { checkPromises } from "./check-promises.js";
import type { DemoOptions } from "./demo-options.js";
import { watchEntries } from "./entry-watch.js";
import { FaultScript } from "./fault-script.js";
import { formatClassTable } from "./format-class-table.js";
import { formatReasons } from "./format-reasons.js";
import { publishTargets } from "./publish-targets.js";
import { readVersions } from "./read-versions.js";
import { runScript } from "./run-script.js";
import type { TargetsFile } from "./targets-file.js";

const READY_WITHIN_MS = 30_000;
/** Above the longest time for which a daemon keeps a patient request. */
const SETTLE_MS = 15_000;
const STOP_WITHIN_MS = 15_000;
const DUPLICATE_SHARE = 0.2;
const STAY_AT_MOST_MS = 3_600_000;

/** Runs a site under faults, and prints what became of the calls and which promises held. */
export const runDemo = async (opts: DemoOptions): Promise<boolean> => {
    const { layout, print } = opts;
    const targetsFile = findTargetsFile(layout.name);
    const targets = parse(readFileSync(targetsFile, "utf8")) as TargetsFile;
    const site = await Site.start({ layout, seed: opts.seed });
    try {
        opts.signal.throwIfAborted();
        print(`site ${layout.name}: ${site.daemons.length} daemons, ${site.backendServers.length} backend servers`);
        // Without a configuration no daemon is ready, so the first publish does not wait until it is in force.
        await publishTargets(site, { file: targetsFile });
        const notReady = await site.waitUntilReady({ withinMs: READY_WITHIN_MS });
        if (notReady.length > 0) {
            throw new Error(`not ready after ${READY_WITHIN_MS} ms: ${notReady.map(({ vmId }) => vmId).join(", ")}`);
        }
        const [firstEntry = "", ...otherEntries] = site.daemons.map(daemon => daemon.callerAddress);
        const caller = new Caller({
            entries: [firstEntry, ...otherEntries],
            classes: layout.classes.map(load => ({ ...load, duplicateShare: load.repeatable ? 0 : DUPLICATE_SHARE })),
            seed: opts.seed,
            durationMs: opts.durationMs,
            settleMs: SETTLE_MS,
        });
        const ended = new AbortController();
        const signal = AbortSignal.any([opts.signal, ended.signal]);
        opts.signal.addEventListener("abort", () => caller.stop());
        print(
            `calls for ${opts.durationMs / 1000} s, seed ${opts.seed}; ${
                100 * DUPLICATE_SHARE
            }% of the keyed ones twice, through two daemons`,
        );
        const watching = watchEntries(site, { caller, signal });
        const script = new FaultScript(site, { targetsFile, durationMs: opts.durationMs });
        const running = caller.run();
        running.catch(() => undefined);
        await runScript(script.steps(), { print, signal });
        const report = await running;
        opts.signal.throwIfAborted();
        ended.abort();
        await watching;
        const { killed, killedAtMs, stopped, leavingVmId, inForceAfterMs, newVmReadyAfterMs } = script.seen;
        const stoppedExit = await Promise.race([
            site.processOf(stopped).exited,
            delay(STOP_WITHIN_MS, undefined, { ref: false }),
        ]);
        const results = checkPromises({
            calls: report.calls,
            records: await site.records(),
            probesPerSecond: targets.measuring.probesPerSecond,
            kills: [{ entry: killed.callerAddress, atMs: killedAtMs }],
            stoppedEntry: stopped.callerAddress,
            stoppedExit,
            leavingVmId,
            configuration: {
                inForceAfterMs,
                newVmReadyAfterMs,
                versionsAtEnd: await readVersions(site),
                publishedVersion: inForceAfterMs === undefined ? undefined : 2,
            },
        });
        print(`\n${formatClassTable(report.classes, { targets })}\n`);
        print(`${formatReasons(report.calls)}\n`);
        for (const { number, title, verdict, detail } of results) {
            print(`${verdict.padEnd("not checked".length)}  ${number}. ${title}: ${detail}`);
        }
        if (opts.stay) {
            print(`\nthe site runs on for at most an hour; Ctrl-C ends it\n  callers: ${firstEntry}`);
            print(`  node tool/cli/lib/main.js --settings ${site.toolSettingsFile} status`);
            await delay(STAY_AT_MOST_MS, undefined, { signal: opts.signal }).catch(() => undefined);
        }
        return results.every(result => result.verdict !== "not held");
    }
    finally {
        await site.stop({ keepDirectory: opts.keep });
        if (opts.keep) {
            print(`settings files and logs: ${site.directory}`);
        }
    }
};
