import {
    type OwnershipEffect,
    type OwnershipEvent,
    reduceOwnership,
    selectNextOffset,
    selectOwnBounds,
    selectTerms,
} from "@marigoldstall/fleet.ownership";
import { type ClaimRequest, type LedgerEffect, type LedgerEvent, reduceLedger } from "@marigoldstall/requests.ledger";
import type { FleetFault } from "./fleet-fault.js";
import type { FleetScenario } from "./fleet-scenario.js";
import { InvariantChecker } from "./invariant-checker.js";
import { ModelDaemon } from "./model-daemon.js";
import { ModelLog } from "./model-log.js";
import { ModelNetwork } from "./model-network.js";
import { planCalls } from "./plan-calls.js";
import type { PlannedCall } from "./planned-call.js";
import { Scheduler } from "./scheduler.js";
import { SeededRandom } from "./seeded-random.js";

const START_WALL_MS = 1_800_000_000_000;
const TICK_INTERVAL_MS = 250;
const MEMBERS_INTERVAL_MS = 500;
const STOP_NOTICE_MS = 5_000;
/** A stopping daemon keeps running until the last key time of its terms has passed. */
const STOP_MS = 8_000;
const SERVICE = "crewcall";
const ZONES = ["bezigrad", "vic", "moste"];

/** Simulates several daemons that share a log and a network, under the faults of a scenario. */
export class FleetModel {
    readonly checker = new InvariantChecker();
    /** Keys of the requests that a running daemon received. */
    readonly receivedKeys = new Set<string>();
    readonly log = new ModelLog();
    readonly daemons: ModelDaemon[] = [];
    private readonly scheduler = new Scheduler();
    private readonly random: SeededRandom;
    private readonly network: ModelNetwork;
    readonly calls = new Map<string, PlannedCall>();
    private sequence = 0;
    private readonly promiseCallers = new Map<string, ModelDaemon>();
    private readonly ledgerCallers = new Map<
        string,
        { daemon: ModelDaemon; request: ClaimRequest | undefined; requestId: string; }
    >();

    constructor(private readonly scenario: FleetScenario) {
        this.random = new SeededRandom(scenario.seed);
        this.network = new ModelNetwork(scenario, this.random, this.scheduler);
        for (let index = 0; index < scenario.daemonCount; index += 1) {
            this.start(index);
        }
        for (const fault of scenario.faults) {
            this.planFault(fault);
        }
        for (const call of planCalls(scenario, { random: this.random, startMs: START_WALL_MS })) {
            this.planCall(call);
        }
    }

    run(): this {
        this.scheduler.runUntil(this.scenario.durationMs);
        return this;
    }

    private get nowMs(): number {
        return this.scheduler.nowMs;
    }

    private start(index: number): void {
        this.sequence += 1;
        const vmId = `entry-${index}`;
        const member = {
            daemon: { vmId, incarnation: `run-${this.sequence}` },
            address: vmId,
            availabilityZone: ZONES[index % ZONES.length]!,
        };
        const clockSkewMs = Math.round((this.random.next() * 2 - 1) * this.scenario.clockSkewMs);
        const daemon = new ModelDaemon(index, member, clockSkewMs, this.scenario.retentionMs);
        this.daemons[index] = daemon;
        this.repeat(daemon, TICK_INTERVAL_MS, () => this.tick(daemon));
        this.repeat(daemon, TICK_INTERVAL_MS, () => this.readLog(daemon));
        this.repeat(daemon, MEMBERS_INTERVAL_MS, () => this.updateMembers(daemon));
    }

    private repeat(daemon: ModelDaemon, intervalMs: number, run: () => void): void {
        this.runOnDaemon(daemon, this.nowMs + intervalMs * (0.8 + 0.4 * this.random.next()), () => {
            run();
            this.repeat(daemon, intervalMs, run);
        });
    }

    /** Runs a callback on a daemon: after the pause if the daemon is paused, and not at all if it was killed. */
    private runOnDaemon(daemon: ModelDaemon, atMs: number, run: () => void): void {
        this.scheduler.at(atMs, () => {
            if (!daemon.isAlive) {
                return;
            }
            if (daemon.pausedUntilMs > this.nowMs) {
                this.runOnDaemon(daemon, daemon.pausedUntilMs + this.random.next() * 5, run);
                return;
            }
            run();
        });
    }

    private planFault({ kind, daemonIndex, fromMs, durationMs }: FleetFault): void {
        const endMs = fromMs + durationMs;
        this.scheduler.at(fromMs, () => {
            const daemon = this.daemons[daemonIndex]!;
            if (kind === "pause") {
                daemon.pausedUntilMs = Math.max(daemon.pausedUntilMs, endMs);
            }
            else if (kind === "kill") {
                this.kill(daemonIndex, endMs);
            }
            else if (kind === "fleet-down") {
                this.daemons.forEach(({ index }) => this.kill(index, endMs));
            }
            else if (kind === "log-restored") {
                this.log.restore(this.nowMs - durationMs);
            }
            else if (kind === "stop") {
                this.runOnDaemon(daemon, this.nowMs, () => {
                    daemon.stoppedAtMs = this.nowMs;
                    this.sendOwnership(daemon, { type: "stop-started", ...this.now(daemon) });
                });
                this.scheduler.at(fromMs + STOP_MS, () => daemon.isAlive && this.kill(daemonIndex, endMs + STOP_MS));
            }
        });
    }

    private kill(index: number, restartAtMs: number): void {
        const daemon = this.daemons[index]!;
        if (daemon.isAlive) {
            daemon.isAlive = false;
            this.scheduler.at(restartAtMs, () => this.start(index));
        }
    }

    private planCall(call: PlannedCall): void {
        this.calls.set(call.requestId, call);
        this.scheduler.at(call.atMs, () => {
            const daemon = this.daemons[call.daemonIndex]!;
            if (this.nowMs - daemon.stoppedAtMs >= STOP_NOTICE_MS) {
                return;
            }
            this.runOnDaemon(daemon, this.nowMs, () => {
                const { requestId, key, fingerprint, deadlineAtMs, cancelAfterMs } = call;
                const now = this.now(daemon);
                this.receivedKeys.add(key);
                this.sendLedger(daemon, {
                    type: "keyed-request-arrived",
                    ...now,
                    service: SERVICE,
                    requestId,
                    key,
                    fingerprint,
                    deadlineAtMs,
                });
                if (cancelAfterMs !== undefined) {
                    this.runOnDaemon(daemon, this.nowMs + cancelAfterMs, () => this.cancel(daemon, call));
                }
            });
        });
    }

    private cancel(daemon: ModelDaemon, call: PlannedCall): void {
        if (!daemon.routedRequestIds.has(call.requestId)) {
            this.finish(daemon, call, "not-run");
        }
    }

    private now(daemon: ModelDaemon): { atMs: number; wallMs: number; } {
        const jumpMs = this.network.isActive("clock-jump", daemon.index) ? 3_000 : 0;
        return { atMs: this.nowMs, wallMs: Math.floor(START_WALL_MS + this.nowMs + daemon.clockSkewMs + jumpMs) };
    }

    private tick(daemon: ModelDaemon): void {
        const now = this.now(daemon);
        this.sendOwnership(daemon, { type: "tick", ...now, random: this.random.next() });
        this.sendLedger(daemon, { type: "tick", ...now });
    }

    private readLog(daemon: ModelDaemon): void {
        if (!this.network.isLogReachable(daemon.index)) {
            this.sendOwnership(daemon, { type: "log-unavailable", atMs: this.nowMs });
            return;
        }
        this.log.truncate(this.nowMs - this.scenario.retentionMs);
        const response = this.log.read(selectNextOffset(daemon.ownership));
        this.runOnDaemon(
            daemon,
            this.nowMs + this.network.drawDelayMs(),
            () => this.sendOwnership(daemon, { type: "log-read", ...this.now(daemon), ...response }),
        );
    }

    private updateMembers(daemon: ModelDaemon): void {
        const members = this.daemons
            .filter(peer =>
                peer.isAlive && peer.stoppedAtMs === Infinity
                && !this.network.isActive("partition", daemon.index, peer.index)
            )
            .map(peer => peer.member);
        const membersKey = members.map(member => member.daemon.incarnation).join();
        if (membersKey !== daemon.membersKey) {
            daemon.membersKey = membersKey;
            this.runOnDaemon(
                daemon,
                this.nowMs + 2_000 * this.random.next(),
                () => this.sendOwnership(daemon, { type: "members-changed", atMs: this.nowMs, members }),
            );
        }
    }

    /** Transmits a message between two daemons. The network may lose or duplicate it. */
    private transmit(from: ModelDaemon, toVm: string, run: (to: ModelDaemon) => void): void {
        const copies = this.network.drawCopyCount();
        for (let copy = 0; copy < copies; copy += 1) {
            this.scheduler.at(this.nowMs + this.network.drawDelayMs(), () => {
                const to = this.daemons.find(daemon => daemon.member.daemon.vmId === toVm);
                if (to !== undefined && !this.network.isActive("partition", from.index, to.index)) {
                    this.runOnDaemon(to, this.nowMs, () => run(to));
                }
            });
        }
    }

    private append(daemon: ModelDaemon, recordId: string, value: unknown): void {
        const plan = this.network.planAppend(daemon.index, value);
        for (const appendAtMs of plan.appendTimesMs) {
            this.scheduler.at(appendAtMs, () => this.log.append(value, this.nowMs));
        }
        const { result, resultAtMs } = plan;
        this.runOnDaemon(daemon, resultAtMs, () => {
            this.sendOwnership(daemon, { type: "append-settled", atMs: this.nowMs, recordId, result });
        });
    }

    private sendOwnership(daemon: ModelDaemon, event: OwnershipEvent): void {
        const before = daemon.ownership;
        const { state, effects } = reduceOwnership(before, event);
        daemon.ownership = state;
        const terms = selectTerms(state);
        const ownBoundsMs = selectOwnBounds(state);
        if (terms !== selectTerms(before) || ownBoundsMs !== selectOwnBounds(before)) {
            this.checker.recordBounds(daemon.key, terms, ownBoundsMs);
            this.sendLedger(daemon, { type: "terms-changed", ...this.now(daemon), terms, ownBoundsMs });
        }
        for (const effect of effects) {
            if (effect.type !== "log-decision") {
                this.runOnDaemon(daemon, this.nowMs + this.random.next(), () => this.runOwnership(daemon, effect));
            }
        }
    }

    private runOwnership(daemon: ModelDaemon, effect: OwnershipEffect): void {
        switch (effect.type) {
            case "append-ownership-record":
                this.append(daemon, effect.recordId, effect.value);
                break;
            case "request-promise": {
                const { guardian, request } = effect;
                this.sequence += 1;
                const rpcId = `rpc-${this.sequence}`;
                this.promiseCallers.set(rpcId, daemon);
                this.transmit(
                    daemon,
                    guardian.daemon.vmId,
                    to => this.sendOwnership(to, { type: "promise-requested", atMs: this.nowMs, rpcId, request }),
                );
                break;
            }
            case "answer-promise": {
                const caller = this.promiseCallers.get(effect.rpcId)!;
                this.transmit(daemon, caller.member.daemon.vmId, to => {
                    if (to === caller) {
                        this.sendOwnership(to, { type: "promise-answered", atMs: this.nowMs, reply: effect.reply });
                    }
                });
                break;
            }
            case "log-decision":
                break;
        }
    }

    private sendLedger(daemon: ModelDaemon, event: LedgerEvent): void {
        const { state, effects } = reduceLedger(daemon.ledger, event);
        daemon.ledger = state;
        for (const effect of effects) {
            this.recordLedgerEffect(daemon, effect);
            if (effect.type !== "log-decision") {
                this.runOnDaemon(daemon, this.nowMs + this.random.next(), () => this.runLedger(daemon, effect));
            }
        }
    }

    private recordLedgerEffect(daemon: ModelDaemon, effect: LedgerEffect): void {
        if (effect.type === "route-request") {
            daemon.routedRequestIds.add(effect.requestId);
            this.checker.recordGrant(this.calls.get(effect.requestId)!.key, this.holderOf(daemon, effect.requestId));
        }
        else if (effect.type === "answer-claim" && effect.reply.type === "granted") {
            const { daemon: caller, request } = this.ledgerCallers.get(effect.rpcId)!;
            this.checker.recordGrant(request!.key, this.holderOf(caller, request!.requestId));
        }
        else if (effect.type === "answer-caller") {
            this.checker.recordEnded(this.holderOf(daemon, effect.requestId));
        }
    }

    private holderOf(daemon: ModelDaemon, requestId: string): string {
        return `${daemon.key}/${requestId}`;
    }

    private runLedger(daemon: ModelDaemon, effect: LedgerEffect): void {
        switch (effect.type) {
            case "send-claim":
            case "send-settle": {
                this.sequence += 1;
                const rpcId = `rpc-${this.sequence}`;
                const { owner } = effect;
                const { requestId } = effect.request;
                const request = effect.type === "send-claim" ? effect.request : undefined;
                this.ledgerCallers.set(rpcId, { daemon, request, requestId });
                this.transmit(daemon, owner.vmId, to =>
                    this.sendLedger(
                        to,
                        effect.type === "send-claim"
                            ? { type: "claim-received", ...this.now(to), rpcId, request: effect.request }
                            : { type: "settle-received", ...this.now(to), rpcId, request: effect.request },
                    ));
                break;
            }
            case "answer-claim":
            case "answer-settle": {
                const { daemon: caller, requestId } = this.ledgerCallers.get(effect.rpcId)!;
                const owner = daemon.member.daemon;
                this.transmit(daemon, caller.member.daemon.vmId, to => {
                    if (to === caller) {
                        const now = this.now(to);
                        this.sendLedger(
                            to,
                            effect.type === "answer-claim"
                                ? { type: "claim-answered", ...now, requestId, owner, reply: effect.reply }
                                : { type: "settle-answered", atMs: now.atMs, requestId, owner, received: true },
                        );
                    }
                });
                break;
            }
            case "answer-caller":
                this.checker.recordAnswer(
                    this.calls.get(effect.requestId)!.key,
                    this.holderOf(daemon, effect.requestId),
                    effect.outcome,
                );
                break;
            case "route-request":
                this.route(daemon, this.calls.get(effect.requestId)!);
                break;
            case "log-decision":
                break;
        }
    }

    /** Simulates routing: checks the deadline and sends in the same step, to a backend server that may reject the request. */
    private route(daemon: ModelDaemon, call: PlannedCall): void {
        const { random } = this;
        const draw = random.next();
        if (this.nowMs >= call.deadlineAtMs || draw < 0.05) {
            this.finish(daemon, call, "not-run");
            return;
        }
        const holder = this.holderOf(daemon, call.requestId);
        this.checker.recordSend(call.key, holder);
        const isExecuted = draw >= 0.1;
        if (isExecuted) {
            this.checker.recordExecution(call.key, holder);
        }
        this.runOnDaemon(daemon, this.nowMs + random.next() * 100, () => {
            const outcome = !isExecuted ? "not-run" : draw < 0.15 ? "unknown" : "completed";
            this.finish(daemon, call, outcome);
        });
    }

    private finish(daemon: ModelDaemon, call: PlannedCall, outcome: "completed" | "not-run" | "unknown"): void {
        if (outcome === "not-run") {
            this.checker.recordEnded(this.holderOf(daemon, call.requestId));
        }
        const response = outcome === "completed"
            ? { statusCode: 200, headers: [], bodyBase64: "b2s=" }
            : undefined;
        const { requestId } = call;
        this.sendLedger(daemon, { type: "request-finished", ...this.now(daemon), requestId, outcome, response });
    }
}
