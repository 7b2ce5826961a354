import type { Evidence, Vm } from "@marigoldstall/core.types";
import {
    createMembershipState,
    type Member,
    type MembershipEffect,
    type MembershipEvent,
    type MembershipState,
    parseHeartbeat,
    reduceMembership,
    selectLivePeers,
    selectWritesSnapshots,
} from "@marigoldstall/fleet.membership";
import { expect } from "chai";

const member = (vmId: string, incarnation = "0001"): Member => ({
    daemon: { vmId, incarnation },
    address: `${vmId}:7200`,
    availabilityZone: "bezigrad",
});

const EVIDENCE: Evidence = {
    service: "statusdesk",
    address: "127.0.0.1:9001",
    instanceId: "i1",
    kind: "leaving",
    observedBy: "a",
};

const entryVm = (vmId: string): Vm => ({
    vmId,
    role: "entry",
    address: `${vmId}:7200`,
    availabilityZone: "bezigrad",
    state: "live",
});

/** Membership states of several daemons that share a clock and a lossless network. */
class Fleet {
    readonly states = new Map<string, MembershipState>();
    readonly effects: MembershipEffect[] = [];
    readonly unresponsive = new Set<string>();
    atMs = 0;

    constructor(vmIds: readonly string[]) {
        for (const vmId of vmIds) {
            this.states.set(vmId, createMembershipState({ self: member(vmId), atMs: 0 }));
        }
    }

    send(vmId: string, event: MembershipEvent): void {
        const transition = reduceMembership(this.states.get(vmId) as MembershipState, event);
        this.states.set(vmId, transition.state);
        for (const effect of transition.effects) {
            this.effects.push(effect);
            if (effect.type === "send-heartbeat") {
                this.deliver(vmId, effect);
            }
        }
    }

    readVmList(vms: readonly Vm[]): void {
        for (const vmId of this.states.keys()) {
            this.send(vmId, { type: "vm-list-read", atMs: this.atMs, vmList: { asOfMs: this.atMs, vms } });
        }
    }

    run(seconds: number): void {
        for (let second = 0; second < seconds; second += 1) {
            this.atMs += 1_000;
            for (const [index, vmId] of [...this.states.keys()].entries()) {
                if (!this.unresponsive.has(vmId)) {
                    const random = (this.atMs * 0.618_034 + index * 0.37) % 1;
                    this.send(vmId, { type: "tick", atMs: this.atMs, random });
                }
            }
        }
    }

    livePeerIds(vmId: string): readonly string[] {
        return selectLivePeers(this.states.get(vmId) as MembershipState, { atMs: this.atMs })
            .map(peer => peer.vmId).sort();
    }

    private deliver(from: string, effect: MembershipEffect & { type: "send-heartbeat"; }): void {
        const to = effect.peerAddress.split(":")[0] as string;
        if (this.unresponsive.has(to) || this.unresponsive.has(from) || !this.states.has(to)) {
            this.send(from, {
                type: "heartbeat-answered",
                atMs: this.atMs,
                peerAddress: effect.peerAddress,
                heartbeat: undefined,
            });
            return;
        }
        const heartbeat = parseHeartbeat(JSON.parse(JSON.stringify(effect.heartbeat)));
        if (heartbeat === undefined) {
            throw new Error("parseHeartbeat rejected a heartbeat from createHeartbeat");
        }
        const answerCount = this.effects.length;
        this.send(to, { type: "heartbeat-received", atMs: this.atMs, rpcId: "r", heartbeat });
        const answer = this.effects.slice(answerCount).find(other => other.type === "answer-heartbeat");
        if (answer?.type === "answer-heartbeat") {
            this.send(from, {
                type: "heartbeat-answered",
                atMs: this.atMs,
                peerAddress: effect.peerAddress,
                heartbeat: answer.heartbeat,
            });
        }
    }
}

const VM_IDS = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n"];

describe("fleet.membership", () => {
    let fleet: Fleet;

    beforeEach(() => {
        fleet = new Fleet(VM_IDS);
        fleet.readVmList(VM_IDS.map(entryVm));
        fleet.run(5);
    });

    it("considers every listed daemon live after its first beat, and selects one daemon to write snapshots", () => {
        expect(fleet.livePeerIds("g")).to.deep.equal(VM_IDS.filter(vmId => vmId !== "g"));
        const writers = [...fleet.states.values()].filter(selectWritesSnapshots);
        expect(writers.map(state => state.self.daemon.vmId)).to.deep.equal(["a"]);
    });

    it("keeps all peers live for a minute of heartbeats to 3 random peers a second", () => {
        for (let second = 0; second < 60; second += 1) {
            fleet.run(1);
            expect(fleet.livePeerIds("b")).to.have.length(13);
        }
    });

    for (const [name, vms] of [["empty", []], ["halved", VM_IDS.slice(0, 6)]] as const) {
        it(`keeps daemons with recent beats live when the VM list is ${name}`, () => {
            fleet.readVmList(vms.map(entryVm));
            fleet.run(120);
            expect(fleet.livePeerIds("a")).to.have.length(13);
        });
    }

    it("removes a silent peer from the members within 10 s while the VM list still contains it", () => {
        fleet.unresponsive.add("n");
        fleet.run(10);
        expect(fleet.livePeerIds("a")).not.to.include("n");
        const members = (fleet.states.get("a") as MembershipState).members?.map(other => other.daemon.vmId);
        expect(members).to.deep.equal(VM_IDS.filter(vmId => vmId !== "n"));
    });

    it("does not consider its peers silent after a pause of its own", () => {
        fleet.unresponsive.add("b");
        fleet.run(30);
        fleet.unresponsive.delete("b");
        fleet.send("b", { type: "tick", atMs: fleet.atMs, random: 0.5 });
        expect(fleet.livePeerIds("b")).to.have.length(13);
    });

    it("discovers a started daemon that the lagging VM list does not contain yet", () => {
        fleet.states.set("z", createMembershipState({ self: member("z"), atMs: fleet.atMs }));
        fleet.send("z", {
            type: "vm-list-read",
            atMs: fleet.atMs,
            vmList: { asOfMs: 1, vms: VM_IDS.map(entryVm) },
        });
        fleet.run(5);
        expect(fleet.livePeerIds("a")).to.include("z");
    });

    it("replaces the incarnation of a restarted daemon, and ignores stale gossip about the former one", () => {
        const previousBeat = (fleet.states.get("b") as MembershipState).beat;
        fleet.states.set("b", createMembershipState({ self: member("b", "0002"), atMs: fleet.atMs }));
        fleet.readVmList(VM_IDS.map(entryVm));
        fleet.run(3);
        const staleBeat = { member: member("b", "0001"), beat: previousBeat + 100 };
        fleet.send("a", {
            type: "heartbeat-answered",
            atMs: fleet.atMs,
            peerAddress: "c:7200",
            heartbeat: {
                sender: member("c"),
                stopping: false,
                configurationVersion: 0,
                pressure: [],
                evidence: [],
                beats: [staleBeat],
            },
        });
        expect((fleet.states.get("a") as MembershipState).peers.get("b")?.incarnation).to.equal("0002");
    });

    it("removes a stopping daemon from the members at once while the VM list still reports it live", () => {
        fleet.send("c", { type: "stop-started", atMs: fleet.atMs });
        fleet.readVmList(VM_IDS.map(entryVm));
        const members = (fleet.states.get("a") as MembershipState).members?.map(other => other.daemon.vmId);
        expect(members).not.to.include("c");
    });

    it("sends new evidence to all live peers once, and repeats it in heartbeats", () => {
        fleet.effects.length = 0;
        fleet.send("a", { type: "evidence-observed", atMs: fleet.atMs, evidence: EVIDENCE });
        fleet.send("a", { type: "evidence-observed", atMs: fleet.atMs, evidence: EVIDENCE });
        expect(fleet.effects.filter(effect => effect.type === "send-evidence")).to.have.length(13);
        fleet.run(4);
        const reports = fleet.effects.filter(effect => effect.type === "evidence-heard");
        expect(reports).to.have.length(13);
    });

    it("does not report members before all listed peers have sent a beat or the startup wait has elapsed", () => {
        const state = createMembershipState({ self: member("a"), atMs: 0 });
        const vmList = { asOfMs: 0, vms: VM_IDS.map(entryVm) };
        const first = reduceMembership(state, { type: "vm-list-read", atMs: 0, vmList });
        expect(first.effects.filter(effect => effect.type === "members-changed")).to.deep.equal([]);
        const later = reduceMembership(first.state, { type: "tick", atMs: 3_000, random: 0 });
        expect(later.effects.filter(effect => effect.type === "members-changed")).to.have.length(1);
    });

    it("rejects a malformed heartbeat", () => {
        expect(parseHeartbeat({ sender: "a" })).to.equal(undefined);
    });
});
