import { expect } from "chai";
import { EntrySite } from "./entry-site.js";

type Method = (...args: readonly unknown[]) => unknown;

const REQUESTS = 8;
const SETTLE_MS = 600;
const MAX_WAIT_ROUNDS = 10;
const STATUS_OK = 200;
const UNKNOWN_PATH = "/unknown/1";

// Parts of the daemon that effects call, and the path of the requests that lead there.
const STEPS: readonly (readonly [part: string, method: string, path?: string])[] = [
    ["callerListener", "relay"],
    ["callerListener", "writeResponse"],
    ["callerListener", "reject", UNKNOWN_PATH],
    ["callerListener", "writeResponse", UNKNOWN_PATH],
    ["serverAttempts", "start"],
    ["serverAttempts", "takeResponse"],
    ["pools", "get"],
    ["healthChecks", "sendProbe"],
    ["storeReader", "readRegistrations"],
    ["log", "write"],
];

// An effect that removed a request from its table and then threw left a request that nothing ended (review/3).
describe("EntryDaemon with an effect that fails half-way", () => {
    let site: EntrySite;

    beforeEach(async () => {
        site = new EntrySite({ vmCount: 1 });
        await site.start({
            instanceIds: ["a", "b"],
            whenStored: () => {
                site.publish(1);
                site.register("a");
                site.register("b");
            },
        });
        await site.wait(SETTLE_MS);
    });

    afterEach(async () => {
        await site.stop();
    });

    /** Makes a method of a part of the daemon throw at its next call. Returns whether it has been called. */
    const throwOnce = (part: string, method: string): () => boolean => {
        const [daemon] = site.daemons;
        const target = (daemon as unknown as Readonly<Record<string, Record<string, Method>>>)[part];
        const original = target?.[method];
        if (target === undefined || original === undefined) {
            throw new Error(`the daemon has no ${part}.${method}`);
        }
        let hasThrown = false;
        target[method] = () => {
            hasThrown = true;
            target[method] = original;
            throw new Error("broken effect");
        };
        return () => hasThrown;
    };

    for (const [part, method, path] of STEPS) {
        it(`answers every request when ${part}.${method} throws${path === undefined ? "" : " for a rejection"}`, async () => {
            const hasThrown = throwOnce(part, method);
            const outcomes = await site.send(REQUESTS, path === undefined ? {} : { path });
            // The store is read, and servers are probed, without a request.
            for (let round = 0; round < MAX_WAIT_ROUNDS && !hasThrown(); round += 1) {
                await site.wait(SETTLE_MS);
            }
            expect(hasThrown()).to.equal(true);
            expect(outcomes.map(({ statusCode }) => statusCode)).to.not.include(undefined);
            const later = await site.send(REQUESTS);
            expect(later.map(({ statusCode }) => statusCode)).to.deep.equal([...Array(REQUESTS)].fill(STATUS_OK));
        });
    }
});
