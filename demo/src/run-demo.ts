import { Caller } from "@marigoldstall-private/caller";
import { findTargetsFile, Site } from "@marigoldstall-private/sites";
import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { parse } from "yaml";
import { checkGuarantees } from "./check-guarantees.js";
import type { DemoOptions } from "./demo-options.js";
import { FaultScript } from "./fault-script.js";
import { formatClassTable } from "./format-class-table.js";
import { formatFailureReasons } from "./format-failure-reasons.js";
import { publishTargets } from "./publish-targets.js";
import { readConfigurationVersions } from "./read-configuration-versions.js";
import { runScript } from "./run-script.js";
import type { TargetsFile } from "./targets-file.js";
import { trackReadyEntries } from "./track-ready-entries.js";

const READY_TIMEOUT_MS = 30_000;
/** Longer than the maximum time for which a daemon keeps a request of a patient class. */
const SETTLE_MS = 15_000;
const STOP_TIMEOUT_MS = 15_000;
const DUPLICATE_SHARE = 0.2;
const MAX_STAY_MS = 3_600_000;

/**
 * Runs a site while faults are injected, and prints the outcomes of the calls and the result for each guarantee. Returns
 * false if a guarantee did not hold.
 */
export const runDemo = async (opts: DemoOptions): Promise<boolean> => {
    const { layout, print } = opts;
    const targetsFile = findTargetsFile(layout.name);
    const targets = parse(readFileSync(targetsFile, "utf8")) as TargetsFile;
    const site = await Site.start({ layout, seed: opts.seed });
    try {
        opts.signal.throwIfAborted();
        print(`site ${layout.name}: ${site.daemons.length} daemons, ${site.backendServers.length} backend servers`);
        // Daemons are not ready before the first configuration, so this publish does not wait for it to be in force.
        await publishTargets(site, { file: targetsFile });
        const notReady = await site.waitUntilReady({ withinMs: READY_TIMEOUT_MS });
        if (notReady.length > 0) {
            throw new Error(
                `daemons not ready after ${READY_TIMEOUT_MS} ms: ${notReady.map(({ vmId }) => vmId).join(", ")}`,
            );
        }
        const [firstEntry = "", ...otherEntries] = site.daemons.map(daemon => daemon.callerAddress);
        const caller = new Caller({
            entries: [firstEntry, ...otherEntries],
            classes: layout.classes.map(load => ({ ...load, duplicateShare: load.repeatable ? 0 : DUPLICATE_SHARE })),
            seed: opts.seed,
            durationMs: opts.durationMs,
            settleMs: SETTLE_MS,
        });
        const callsEnded = new AbortController();
        const signal = AbortSignal.any([opts.signal, callsEnded.signal]);
        opts.signal.addEventListener("abort", () => caller.stop());
        print(
            `sending calls for ${opts.durationMs / 1000} s with seed ${opts.seed}; ${
                100 * DUPLICATE_SHARE
            }% of the calls with an idempotency key are sent twice, through two daemons`,
        );
        const entryTracking = trackReadyEntries(site, { caller, signal });
        const script = new FaultScript(site, { targetsFile, durationMs: opts.durationMs });
        const callerRun = caller.run();
        callerRun.catch(() => undefined);
        await runScript(script.steps(), { print, signal });
        const report = await callerRun;
        opts.signal.throwIfAborted();
        callsEnded.abort();
        await entryTracking;
        const { killedDaemon, killedAtMs, stoppedDaemon, leavingVmId, inForceAfterMs, newVmReadyAfterMs } =
            script.result;
        const stoppedExitStatus = await Promise.race([
            site.processOf(stoppedDaemon).exited,
            delay(STOP_TIMEOUT_MS, undefined, { ref: false }),
        ]);
        const results = checkGuarantees({
            calls: report.calls,
            backendRecords: await site.records(),
            probesPerSecond: targets.measuring.probesPerSecond,
            kills: [{ entry: killedDaemon.callerAddress, atMs: killedAtMs }],
            stoppedEntry: stoppedDaemon.callerAddress,
            stoppedExitStatus,
            leavingVmId,
            configuration: {
                inForceAfterMs,
                newVmReadyAfterMs,
                finalVersions: await readConfigurationVersions(site),
                publishedVersion: inForceAfterMs === undefined ? undefined : 2,
            },
        });
        print(`\n${formatClassTable(report.classes, { targets })}\n`);
        print(`${formatFailureReasons(report.calls)}\n`);
        for (const { number, title, status, detail } of results) {
            print(`${status.padEnd("not checked".length)}  ${number}. ${title}: ${detail}`);
        }
        if (opts.stay) {
            print(`\nthe site keeps running for at most one hour; press Ctrl-C to stop it\n  callers: ${firstEntry}`);
            print(`  node tool/cli/lib/main.js --settings ${site.toolSettingsFile} status`);
            await delay(MAX_STAY_MS, undefined, { signal: opts.signal }).catch(() => undefined);
        }
        return results.every(result => result.status !== "not held");
    }
    finally {
        await site.stop({ keepDirectory: opts.keep });
        if (opts.keep) {
            print(`settings files and logs are in ${site.directory}`);
        }
    }
};
