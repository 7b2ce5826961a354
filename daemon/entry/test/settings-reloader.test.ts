import type { EntrySettings } from "@marigoldstall/core.types";
import { expect } from "chai";
import { ok } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import { SettingsReloader } from "../src/settings-reloader.js";

const SETTINGS: EntrySettings = {
    vmId: "vm-1",
    availabilityZone: "a",
    host: "127.0.0.1",
    listen: { caller: "127.0.0.1:1", ready: "127.0.0.1:2", control: "127.0.0.1:3" },
    fleetPort: 4,
    seedAddresses: [],
    isFirstStart: false,
    cores: 1,
    linkMbps: 10,
    storeAddress: "127.0.0.1:5",
    heartbeatMs: 1_500,
    retryBudget: { ratio: 0.2, windowMs: 10_000, extra: 58 },
    stopGraceMs: 700,
    maxProbesPerSecond: 60,
    memoryBytes: 250 * 1_024 * 1_024,
    maxDescriptors: 4_100,
};
const READ_MS = 50;

describe("SettingsReloader", () => {
    // Each SIGHUP read the settings on its own, for up to 3 s while the file was incomplete, so that a series of signals
    // kept hundreds of reads going.
    it("reads the settings once more for all reloads that come during a read", async () => {
        let reads = 0;
        const changes: unknown[] = [];
        const reloader = new SettingsReloader({
            settings: SETTINGS,
            read: async () => {
                reads += 1;
                await sleep(READ_MS);
                return ok({ ...SETTINGS, linkMbps: reads });
            },
            log: {
                write: (...[, fields]) => {
                    changes.push(fields["changed"]);
                },
            },
        });
        const first = reloader.reload();
        for (let count = 0; count < 100; count += 1) {
            await reloader.reload();
        }
        await first;
        expect(reads).to.equal(2);
        await reloader.reload();
        expect(changes).to.deep.equal([["linkMbps"], ["linkMbps"], ["linkMbps"]]);
    });
});
