import {
    createHubState,
    HUB_LIMITS,
    type HubState,
    reduceHub,
    selectHeartbeatIntervalMs,
    selectLiveHub,
    selectLiveVms,
    type VmInfo,
} from "@marigoldstall/fleet.hubs";
import { expect } from "chai";
import fc from "fast-check";
import { createVm } from "./create-vm.js";
import { SUMMARY } from "./summary.js";

const AT_MS = 100_000;
const ZONE = "a";

const compare = (a: VmInfo, b: VmInfo): number =>
    b.linkMbps - a.linkMbps || b.cores - a.cores || (a.vmId < b.vmId ? -1 : a.vmId > b.vmId ? 1 : 0);

// Every VM evaluates these times at each tick, over all VMs that it knows. The functions look at fewer of them than the
// plain formulas here, and must give the same results.
describe("The times of a hub", () => {
    const seenAtMs = fc.integer({ min: AT_MS - 2 * HUB_LIMITS.vmExpiryMs, max: AT_MS });
    const seenAsHubAtMs = fc.oneof(fc.constant(-Infinity), fc.integer({ min: AT_MS - 600, max: AT_MS }));
    const vm = fc.tuple(fc.constantFrom(ZONE, ZONE, ZONE, "b"), fc.nat({ max: 3 }), seenAtMs, seenAsHubAtMs);
    const states = fc.array(vm, { maxLength: 250, size: "max" }).map((vms): HubState => ({
        ...createHubState(createVm("m", ZONE, 2), { atMs: AT_MS - 60_000 }),
        hasJoined: true,
        vms: new Map(vms.map(([zone, linkMbps, lastSeenAtMs, lastSeenAsHubAtMs], index) => {
            const info = createVm(String(index), zone, linkMbps);
            return [info.vmId, { info, lastSeenAtMs, lastHeardAtMs: lastSeenAtMs, lastSeenAsHubAtMs }];
        })),
    }));

    const intervalOf = (state: HubState): number => {
        const members = selectLiveVms(state, AT_MS).filter(({ info }) => info.availabilityZone === ZONE);
        return Math.max(HUB_LIMITS.hubHeartbeatIntervalMs, members.length * HUB_LIMITS.hubHeartbeatPerMemberMs);
    };
    const zoneVmsOf = (state: HubState) => [...state.vms.values()].filter(({ info }) => info.availabilityZone === ZONE);

    it("have a heartbeat interval that follows the number of live members", () => {
        fc.assert(fc.property(states, state => {
            expect(selectHeartbeatIntervalMs(state, AT_MS)).to.equal(intervalOf(state));
        }));
    });

    it("tell the live hub with the highest priority", () => {
        fc.assert(fc.property(states, state => {
            const sinceMs = AT_MS - intervalOf(state) * HUB_LIMITS.hubTimeoutIntervals;
            const heard = zoneVmsOf(state).filter(({ lastSeenAsHubAtMs }) => lastSeenAsHubAtMs >= sinceMs);
            const [hub] = heard.map(({ info }) => info).sort(compare);
            expect(selectLiveHub(state, AT_MS)).to.equal(hub);
        }));
    });

    it("start the role when no VM with priority was heard for long enough", () => {
        fc.assert(fc.property(states, state => {
            const preceding = zoneVmsOf(state).filter(({ info }) => compare(info, state.self) < 0);
            const silentMs = AT_MS
                - Math.max(state.expectsHubSinceMs, ...preceding.map(({ lastSeenAsHubAtMs }) => lastSeenAsHubAtMs));
            const rank = preceding.filter(({ lastSeenAtMs }) => AT_MS - lastSeenAtMs <= HUB_LIMITS.vmExpiryMs).length;
            const timeoutMs = intervalOf(state) * HUB_LIMITS.hubTimeoutIntervals + HUB_LIMITS.takeoverStepMs * rank;
            const { state: next, effects } = reduceHub(state, {
                type: "hub-tick",
                atMs: AT_MS,
                summarize: () => SUMMARY,
                listFindings: () => ({ limits: [], leaving: [], suspects: [] }),
            });
            expect(next.isHub).to.equal(silentMs >= timeoutMs);
            const change = effects.find(({ type }) => type === "hub-changed");
            expect(change).to.deep.equal(next.isHub ? { type: "hub-changed", isHub: true, silentMs } : undefined);
        }));
    });
});
