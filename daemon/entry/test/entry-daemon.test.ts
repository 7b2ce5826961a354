import type { EntrySettings } from "@marigoldstall/core.types";
import { EntryDaemon, type EntryEvent, reduceEntry } from "@marigoldstall/daemon.entry";
import { expect } from "chai";
import { type AddressInfo, createServer } from "node:net";

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
    memoryBytes: 250 * 1_024 * 1_024,
    maxDescriptors: 4_100,
};

const findFreePort = async (): Promise<number> => {
    const server = createServer();
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => {
        server.close(resolve);
    });
    return port;
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

    // Requests that waited for a server at the end of the grace period got no answer.
    it("rejects waiting requests before the process ends", async () => {
        const port = await findFreePort();
        const settings = { ...SETTINGS, listen: { ...SETTINGS.listen, caller: `127.0.0.1:${port}` } };
        let requestKey = "";
        const reduce: typeof reduceEntry = (state, event, opts) => {
            if (event.type === "request-arrived") {
                ({ requestKey } = event);
                return { state, effects: [] };
            }
            const transition = reduceEntry(state, event, opts);
            return event.type === "process-ending"
                ? {
                    ...transition,
                    effects: [{ type: "reject-request", requestKey, statusCode: 503, reason: "", retryAfterMs: 0 }],
                }
                : transition;
        };
        const daemon = new EntryDaemon({ settings, reduce });
        await daemon.start();
        const response = fetch(`http://127.0.0.1:${port}/a/`);
        while (requestKey === "") {
            await new Promise(resolve => {
                setTimeout(resolve, 5);
            });
        }
        await daemon.stop();
        expect((await response).status).to.equal(503);
    });

    // An exception in the handling of one event used to end the process, and with it all requests in flight.
    describe("when an event cannot be handled", () => {
        const failOn = (type: EntryEvent["type"]): typeof reduceEntry => (state, event, opts) => {
            if (event.type === type) {
                throw new TypeError("broken event");
            }
            return reduceEntry(state, event, opts);
        };

        it("answers 503 to the request and serves the next ones", async () => {
            const port = await findFreePort();
            const settings = { ...SETTINGS, listen: { ...SETTINGS.listen, caller: `127.0.0.1:${port}` } };
            const daemon = new EntryDaemon({ settings, reduce: failOn("request-arrived") });
            await daemon.start();
            for (let round = 0; round < 2; round += 1) {
                const response = await fetch(`http://127.0.0.1:${port}/a/`);
                expect(response.status).to.equal(503);
            }
            await daemon.stop();
        });

        it("keeps ticking", async () => {
            let ticks = 0;
            const reduce: typeof reduceEntry = (state, event, opts) => {
                ticks += event.type === "tick" ? 1 : 0;
                return failOn("tick")(state, event, opts);
            };
            const daemon = new EntryDaemon({ settings: SETTINGS, reduce });
            await daemon.start();
            await new Promise(resolve => {
                setTimeout(resolve, 400);
            });
            await daemon.stop();
            expect(ticks).to.be.greaterThan(2);
        });
    });
});
