import { createSelectionPolicy } from "@marigoldstall/routing.policy";
import type { Candidate, SelectionInput, SelectionPolicyName } from "@marigoldstall/routing.policy";
import { expect } from "chai";

const candidate = (address: string, changes: Partial<Candidate> = {}): Candidate => ({
    address,
    availabilityZone: "a",
    sameZone: true,
    ownInFlight: 0,
    othersLoad: 0,
    trustedOthersLoad: 0,
    slots: 2,
    relativeLatency: 1,
    cold: false,
    suspect: false,
    ...changes,
});

const choose = (
    name: SelectionPolicyName,
    candidates: readonly Candidate[],
    changes: Partial<SelectionInput> = {},
): string | undefined =>
    createSelectionPolicy(name).select({
        candidates,
        urgency: "urgent",
        reserveSlot: true,
        overdue: false,
        random: 0.5,
        cursor: 0,
        ...changes,
    })?.address;

const NAMES: readonly SelectionPolicyName[] = [
    "random",
    "round-robin",
    "least-outstanding",
    "power-of-two-choices",
    "slot-aware",
];

describe("SelectionPolicy", () => {
    for (const name of NAMES) {
        describe(name, () => {
            const limits = [
                { reason: "this daemon's requests fill its slots", changes: { ownInFlight: 2 } },
                { reason: "it is cold and has a request", changes: { ownInFlight: 1, cold: true } },
                { reason: "it is suspect and has a request", changes: { ownInFlight: 1, suspect: true } },
            ];
            for (const { reason, changes } of limits) {
                it(`waits instead of overloading the only backend server when ${reason}`, () => {
                    expect(choose(name, [candidate("x", changes)])).to.equal(undefined);
                    expect(choose(name, [])).to.equal(undefined);
                });
            }

            it("never gives patient requests the slot that is reserved for urgent ones", () => {
                const busy = [
                    candidate("x", { ownInFlight: 1 }),
                    candidate("y", { othersLoad: 0.6, trustedOthersLoad: 0.6 }),
                ];
                expect(choose(name, busy, { urgency: "patient" })).to.equal(undefined);
                expect(choose(name, busy, { urgency: "patient", reserveSlot: false })).to.not.equal(undefined);
            });
        });
    }

    describe("round-robin", () => {
        it("does not shift the turns of the others when one backend server is full", () => {
            const candidates = [candidate("x"), candidate("y", { ownInFlight: 2 }), candidate("z")];
            const turns = [0, 1, 2, 3].map(cursor => choose("round-robin", candidates, { cursor }));
            expect(turns).to.deep.equal(["x", "z", "z", "x"]);
        });
    });

    describe("slot-aware", () => {
        const preferences = [
            { name: "the lower estimated load of others", worse: { othersLoad: 1 } },
            { name: "fewer requests of this daemon", worse: { ownInFlight: 1 } },
            { name: "the same availability zone on a tie", worse: { sameZone: false } },
            { name: "the faster one on a tie", worse: { relativeLatency: 2 } },
            { name: "one that is not cold", worse: { cold: true } },
            { name: "one that is not suspect", worse: { suspect: true } },
        ];
        for (const { name, worse } of preferences) {
            it(`prefers ${name}`, () => {
                for (const random of [0, 0.3, 0.6, 0.99]) {
                    expect(choose("slot-aware", [candidate("worse", worse), candidate("x")], { random })).to.equal("x");
                }
            });
        }

        it("breaks ties at random, so that daemons do not herd onto the first candidate", () => {
            const candidates = [candidate("x"), candidate("y", { othersLoad: 0.01 })];
            const chosen = [0.1, 0.9].map(random => choose("slot-aware", candidates, { random }));
            expect(chosen).to.deep.equal(["x", "y"]);
        });

        const full = [
            candidate("x", { othersLoad: 4, trustedOthersLoad: 4 }),
            candidate("y", { othersLoad: 5, trustedOthersLoad: 5 }),
        ];

        it("waits when every backend server is estimated to be full and to have a queue", () => {
            expect(choose("slot-aware", full)).to.equal(undefined);
        });

        it("does not wait because of load reports that have proved unreliable", () => {
            const untrusted = full.map(server => ({ ...server, trustedOthersLoad: 0 }));
            expect(choose("slot-aware", untrusted)).to.equal("x");
        });

        it("does not let a request wait longer than a slot takes to become free", () => {
            expect(choose("slot-aware", full, { overdue: true })).to.equal("x");
        });
    });
});
