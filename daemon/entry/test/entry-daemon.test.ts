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
    // Found by the soak, seed 1847992079: the process ended at a second SIGTERM, and cut what the first had let finish.
    it("ends no sooner when it is asked to stop a second time", async () => {
        const daemon = new EntryDaemon({ settings: SETTINGS });
        const ended: string[] = [];
        const first = daemon.stop().then(() => ended.push("first"));
        const second = daemon.stop().then(() => ended.push("second"));
        await new Promise(resolve => {
            setTimeout(resolve, 100);
        });
        expect(ended).to.deep.equal([]);
        await Promise.all([first, second]);
    });
});
