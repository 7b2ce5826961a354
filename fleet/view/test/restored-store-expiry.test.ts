import { expect } from "chai";
import { ExpiringStore } from "./expiring-store.js";

const HEARTBEAT_MS = 1_500;
const PHASE_STEP_MS = 50;
const SWEEP_INTERVAL_MS = HEARTBEAT_MS / 2;
const PHASES_MS = [...Array(SWEEP_INTERVAL_MS / PHASE_STEP_MS).keys()].map(index => index * PHASE_STEP_MS);
// Longer than any registration of a server that has left stays in the store.
const SETTLED_MS = 15_000;

const expectUnused = (store: ExpiringStore, durationMs: number): void => {
    store.run(durationMs, () => {
        expect(store.usesServer, `at ${store.atMs} ms`).to.equal(false);
    });
};

// Guards against a withheld registration that comes into use shortly before the store removes it.
describe("a restored store that removes registrations after three heartbeats of silence, or half of one later", () => {
    describe("brings back no server that has left", () => {
        it("after one restore, at any time between two sweeps", () => {
            for (const firstSweepAtMs of PHASES_MS) {
                const store = new ExpiringStore({ firstSweepAtMs, hasLeft: true });
                store.run(600);
                store.restore();
                expectUnused(store, SETTLED_MS);
                expect(store.holdsServer).to.equal(false);
            }
        });

        it("after four restores within 7 s", () => {
            for (const firstSweepAtMs of PHASES_MS) {
                const store = new ExpiringStore({ firstSweepAtMs, hasLeft: true });
                for (const pauseMs of [600, 1_200, 3_900, 1_700]) {
                    expectUnused(store, pauseMs);
                    store.restore();
                }
                expectUnused(store, SETTLED_MS);
                expect(store.holdsServer).to.equal(false);
            }
        });

        it("after restores that each come shortly before the registration would have been removed", () => {
            for (const firstSweepAtMs of PHASES_MS) {
                const store = new ExpiringStore({ firstSweepAtMs, hasLeft: true });
                for (const pauseMs of [600, 5_200, 5_800, 4_600]) {
                    expectUnused(store, pauseMs);
                    store.restore();
                }
                expectUnused(store, SETTLED_MS);
            }
        });
    });

    // Guards against a time limit that runs on while the store, and with it the silence of its servers, stands still.
    describe("and does not count their silence while it is away", () => {
        for (const awayMs of [400, 1_000, 1_700, 2_500, 6_000]) {
            it(`brings back no server that has left when it is away for ${awayMs} ms`, () => {
                for (const firstSweepAtMs of PHASES_MS) {
                    const store = new ExpiringStore({ firstSweepAtMs, hasLeft: true });
                    store.run(600);
                    store.restore();
                    expectUnused(store, 2_000);
                    store.isAway = true;
                    expectUnused(store, awayMs);
                    store.isAway = false;
                    expectUnused(store, SETTLED_MS);
                    expect(store.holdsServer).to.equal(false);
                }
            });
        }

        it("brings back no server that has left when it is away three times for 1.5 s", () => {
            for (const firstSweepAtMs of PHASES_MS) {
                const store = new ExpiringStore({ firstSweepAtMs, hasLeft: true });
                store.run(600);
                store.restore();
                for (let count = 0; count < 3; count += 1) {
                    expectUnused(store, 700);
                    store.isAway = true;
                    expectUnused(store, 1_500);
                    store.isAway = false;
                }
                expectUnused(store, SETTLED_MS);
                expect(store.holdsServer).to.equal(false);
            }
        });
    });

    // A live server whose registration is unchanged writes no record, so no record can be the condition for its use.
    it("keeps a server that had been silent and is alive unused for no more than six heartbeats", () => {
        for (const firstSweepAtMs of PHASES_MS) {
            const store = new ExpiringStore({ firstSweepAtMs, hasLeft: false });
            store.run(600);
            store.restore();
            store.run(6 * HEARTBEAT_MS);
            expect(store.usesServer).to.equal(true);
        }
    });
});
