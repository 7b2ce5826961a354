import type { EntrySettings } from "@marigoldstall/core.types";
import { EntryDaemon } from "@marigoldstall/daemon.entry";
import { expect } from "chai";

const SETTINGS: EntrySettings = {
    vmId: "vm-1",
    availabilityZone: "a",
    host: "127.0.0.1",
    listen: { caller: "127.0.0.1:0", ready: "127.0.0.1:0", control: "127.0.0.1:0" },
    fleetPort: 0,
    seedAddresses: [],
    isFirstStart: false,
    cores: 1,
    linkMbps: 10,
    storeAddress: "127.0.0.1:1",
    heartbeatMs: 1_500,
    retryBudget: { ratio: 0.2, windowMs: 10_000, extra: 58 },
    stopGraceMs: 700,
    maxProbesPerSecond: 60,
};

describe("EntryDaemon", () => {
    // Regression: a second SIGTERM ended the process immediately and cut off requests that the graceful shutdown was
    // still completing (soak seed 1847992079).
    it("does not cut the graceful shutdown short when stop is called again", async () => {
        const daemon = new EntryDaemon({ settings: SETTINGS });
        const completed: string[] = [];
        const first = daemon.stop().then(() => completed.push("first"));
        const second = daemon.stop().then(() => completed.push("second"));
        await new Promise(resolve => {
            setTimeout(resolve, 100);
        });
        expect(completed).to.deep.equal([]);
        await Promise.all([first, second]);
    });
});
