import { VmListStandIn } from "@marigoldstall-private/vm-list";
import type { VmListEntry, VmListFaultSettings, VmListResponse } from "@marigoldstall-private/vm-list";
import { expect } from "chai";
import { setTimeout as delay } from "node:timers/promises";

const vm = (vmId: string, role = "statusdesk"): VmListEntry => ({
    vmId,
    role,
    address: "127.0.0.1:9000",
    availabilityZone: "vic",
    state: "live",
});

describe("VmListStandIn", () => {
    let vmList: VmListStandIn;
    const post = (path: string, body: unknown, method = "POST") =>
        fetch(`http://${vmList.address}${path}`, { method, body: JSON.stringify(body) });
    const read = async () => await (await fetch(`http://${vmList.address}/vms`)).json() as VmListResponse;
    const readIds = async () => (await read()).vms.map(listed => `${listed.vmId}:${listed.state}`);

    beforeEach(async () => {
        vmList = await VmListStandIn.start({ vms: [vm("a"), vm("b")] });
    });
    afterEach(async () => {
        await vmList.close();
    });

    it("adds, marks as leaving and removes VMs through the control API", async () => {
        await post("/_vms", vm("c"));
        await post("/_vms/a/leave", {});
        await fetch(`http://${vmList.address}/_vms/b`, { method: "DELETE" });
        expect(await readIds()).to.deep.equal(["a:leaving", "c:live"]);
        expect((await post("/_vms/absent/leave", {})).status).to.equal(404);
        expect((await post("/_vms", { vmId: "d" })).status).to.equal(400);
    });

    const cases: readonly {
        readonly title: string;
        readonly faults: VmListFaultSettings;
        readonly expected: readonly string[];
    }[] = [
        { title: "the current list when no fault is set", faults: {}, expected: ["a:leaving", "b:live", "c:live"] },
        {
            title: "an earlier list when it lags",
            faults: { lagMs: 60 },
            expected: ["a:live", "b:live"],
        },
        { title: "no VM when the fault `empty` is set", faults: { empty: true }, expected: [] },
        {
            title: "every second VM of a role when the fault `halfMissing` is set",
            faults: { halfMissing: true },
            expected: ["a:leaving", "c:live"],
        },
    ];
    for (const { title, faults, expected } of cases) {
        it(`returns ${title}`, async () => {
            await delay(80);
            vmList.add(vm("c"));
            vmList.leave("a");
            await post("/_faults", faults);
            expect((await readIds()).sort()).to.deep.equal(expected);
        });
    }

    it("returns a change after the lag, and reports the time of the list that it returns", async () => {
        await post("/_faults", { lagMs: 50 });
        vmList.leave("a");
        expect(await readIds()).to.include("a:live");
        await delay(70);
        expect(await readIds()).to.include("a:leaving");
        expect((await read()).asOfMs).to.be.at.most(Date.now() - 50);
    });

    it("returns the same list and time while it is frozen", async () => {
        await post("/_faults", { standsStill: true });
        const before = await read();
        await delay(5);
        vmList.remove("a");
        expect(await read()).to.deep.equal(before);
    });

    for (const outage of ["refuse", "drop"] as const) {
        it(`returns no list in an outage of kind ${outage}, and recovers when the fault is cleared`, async () => {
            await post("/_faults", { outage });
            const status = await fetch(`http://${vmList.address}/vms`).then(
                response => response.status,
                () => "closed",
            );
            expect(status).to.equal(outage === "refuse" ? 503 : "closed");
            await post("/_faults", {});
            expect(await readIds()).to.have.length(2);
        });
    }
});
