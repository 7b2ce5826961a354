import { expect } from "chai";
import { CrashingServers } from "./crashing-servers.js";
import { FleetModel } from "./fleet-model.js";

const DEADLY_PATH = CrashingServers.path("deadly");
const STABLE_WINDOW_MS = 3_000;
// What the users allow later than the window after the third server has ended.
const ALLOWED_CRASHES = 3;
const ALLOWED_LATER_SENDS = 3;
// Servers that may end at most: three, and a second attempt of requests that were under way at that time.
const MAX_CRASHES = 5;
const INTERVAL_MS = 20;

class DeadlyFleet {
    readonly model: FleetModel;
    readonly servers: CrashingServers;
    private sentCount = 0;

    constructor(opts: { readonly vmCount: number; readonly zones: number; }) {
        this.model = new FleetModel({ ...opts, serverCount: 24, delayMs: 1 });
        this.servers = new CrashingServers(this.model, { deadlyPath: DEADLY_PATH });
        this.model.run(3_000);
    }

    arrive(path: string, vmId = this.pickVm()): void {
        this.model.arrive(vmId, {
            path,
            onKey: requestKey => {
                this.servers.note(requestKey, path);
            },
        });
    }

    /** Fifty requests a second over the VMs that run, one in `deadlyEvery` of them the deadly one. */
    run(durationMs: number, opts: { readonly deadlyEvery: number; }): void {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += INTERVAL_MS) {
            this.sentCount += 1;
            const isDeadly = this.sentCount % opts.deadlyEvery === 0;
            this.arrive(isDeadly ? DEADLY_PATH : CrashingServers.path(String(this.sentCount)));
            this.model.run(INTERVAL_MS);
        }
    }

    get sendsAfterVerdict(): number {
        const thirdMs = this.servers.crashesMs[ALLOWED_CRASHES - 1] ?? Infinity;
        return this.servers.deadlyArrivalsMs.filter(atMs => atMs > thirdMs + STABLE_WINDOW_MS).length;
    }

    rejectionsOf(reason: string): number {
        return this.model.decisions.filter(({ effect }) => effect.type === "reject-request" && effect.reason === reason)
            .length;
    }

    private pickVm(): string {
        const { live } = this.model;
        return live[(this.sentCount * 7) % live.length] ?? "";
    }
}

describe("a request that ends each server that runs it", () => {
    for (const [vmCount, zones] of [[13, 3], [62, 4]] as const) {
        // Each VM that got the request sent it to two servers, for as long as callers repeated it.
        it(`is no longer sent by any of ${vmCount} VMs once three servers have ended`, () => {
            const fleet = new DeadlyFleet({ vmCount, zones });
            fleet.run(20_000, { deadlyEvery: 33 });
            expect(fleet.servers.crashesMs.length).to.be.within(ALLOWED_CRASHES, MAX_CRASHES);
            expect(fleet.sendsAfterVerdict).to.equal(0);
        }).timeout(120_000);
    }

    // A VM that starts, or comes back from a pause, has not seen the servers end.
    it("is not sent by VMs that were frozen, cut off or restarted meanwhile", () => {
        const fleet = new DeadlyFleet({ vmCount: 13, zones: 3 });
        const { model } = fleet;
        model.silent.add("vm-005");
        model.isolated.add("vm-006");
        fleet.run(4_000, { deadlyEvery: 20 });
        model.silent.clear();
        model.isolated.clear();
        for (const vmId of ["vm-001", "vm-007", "vm-008"]) {
            model.restart(vmId, { seedId: "vm-000" });
            fleet.run(500, { deadlyEvery: 20 });
        }
        fleet.run(4_000, { deadlyEvery: 20 });
        expect(fleet.sendsAfterVerdict).to.be.at.most(ALLOWED_LATER_SENDS);
    }).timeout(120_000);

    // A wrong verdict would reject a kind of request that nobody else could clear.
    it("is not taken to be one of those that run while servers end for other reasons", () => {
        const fleet = new DeadlyFleet({ vmCount: 13, zones: 3 });
        const popularPath = CrashingServers.path("popular");
        for (let round = 0; round < 30; round += 1) {
            const first = (round * 5) % 24;
            fleet.servers.crash([`i-${first}`, `i-${(first + 1) % 24}`, `i-${(first + 2) % 24}`]);
            for (let count = 0; count < 6; count += 1) {
                fleet.arrive(popularPath);
                fleet.run(2 * INTERVAL_MS, { deadlyEvery: Infinity });
            }
        }
        expect(fleet.servers.crashesMs.length).to.equal(0);
        expect(fleet.rejectionsOf("servers-ended-under-it")).to.equal(0);
    }).timeout(60_000);
});
