import type { BackendServer, EntrySettings, LoadReport, Tenant } from "@marigoldstall/core.types";
import {
    createEntryState,
    type EntryEffect,
    type EntryEvent,
    type EntryState,
    reduceEntry,
    selectFindings,
    toEntryEvent,
} from "@marigoldstall/daemon.entry";
import { decodeFleetMessage, encodeFleetMessage, type FleetMessage } from "@marigoldstall/fleet.hubs";
import { listEvacuations, type RegistrationChange, selectViewSnapshot } from "@marigoldstall/fleet.view";
import { createModelConfiguration } from "./create-model-configuration.js";
import { createModelServer } from "./create-model-server.js";
import { createModelSettings } from "./create-model-settings.js";
import { ModelOperatorTopic } from "./model-operator-topic.js";
import type { ModelOptions } from "./model-options.js";
import type { ModelReply } from "./model-reply.js";
import { MODEL_ROUTE } from "./model-route.js";
import { selectNewest } from "./select-newest.js";

const TICK_MS = 10;
const STORE_LATENCY_MS = 5;
const STORE_TIMEOUT_MS = 900;
const PROBE_LATENCY_MS = 2;
const RPC_LATENCY_MS = 4;

/** Content of the store at a time, from which it can be restored. */
interface ModelStoreCopy {
    readonly records: readonly RegistrationChange[];
    readonly operatorTopic: ModelOperatorTopic;
}

/** Simulation of VMs, a store and backend servers that exchange events in virtual time. */
export class FleetModel {
    readonly states = new Map<string, EntryState>();
    /** VMs that process no events. */
    readonly silent = new Set<string>();
    /** VMs whose datagrams reach no other VM, and that get none. */
    readonly isolated = new Set<string>();
    /** Takes the place of the backend servers. Without it, requests and preflight checks stay without an answer. */
    respond: ((vmId: string, effect: EntryEffect) => ModelReply | undefined) | undefined;
    /** VMs whose store reads time out. */
    readonly withoutStore = new Set<string>();
    /** How much longer than usual the answers to the reads of a VM take. The store processes the read at once. */
    readonly extraAnswerDelayMs = new Map<string, number>();
    storeLatencyMs = STORE_LATENCY_MS;
    readonly storeReads: { readonly vmId: string; readonly atMs: number; }[] = [];
    readonly probes: { readonly vmId: string; readonly instanceId: string; readonly atMs: number; }[] = [];
    readonly decisions: { readonly vmId: string; readonly effect: EntryEffect; readonly atMs: number; }[] = [];
    datagrams = 0;
    /** Bytes of datagrams that each VM sent and received. */
    readonly datagramBytes = new Map<string, number>();
    /** Load reports that each VM has received in datagrams. */
    readonly receivedLoads = new Map<string, number>();
    atMs = 1_000;
    private readonly settings: readonly EntrySettings[];
    private readonly delayMs: number;
    private readonly coldRequestsPerSecond: number | undefined;
    /** Probability that a datagram is lost. */
    lossShare = 0;
    private records: RegistrationChange[] = [];
    private operatorTopic = new ModelOperatorTopic();
    private storeEra = 1;
    private readonly scheduled = new Map<number, (() => void)[]>();
    private incarnation = 1;
    private random = 0.123;
    private requestCount = 0;

    constructor(opts: ModelOptions) {
        const zones = opts.zones ?? 3;
        this.delayMs = opts.delayMs ?? 2;
        this.coldRequestsPerSecond = opts.coldRequestsPerSecond;
        this.settings = [...Array(opts.vmCount).keys()].map(index => ({
            ...createModelSettings(index, index % zones, opts),
            ...opts.settings,
        }));
        for (const one of this.settings) {
            this.states.set(one.vmId, createEntryState(one, { atMs: this.atMs, incarnation: "1" }));
        }
        for (let index = 0; index < (opts.serverCount ?? 6); index += 1) {
            const server = createModelServer(`i-${index}`, index % zones);
            this.register({ ...server, slots: opts.slotsPerServer ?? server.slots });
        }
        this.publishConfiguration(1, opts.tenantsByKey);
        const vms = this.settings.map(one => this.state(one.vmId).hub.self);
        for (const vmId of this.states.keys()) {
            this.dispatch(vmId, { type: "vms-found", vms });
        }
    }

    /** Restarts a VM with an empty state, before it has read the list of VMs. It reaches no seed unless one is given. */
    restart(vmId: string, opts: { readonly seedId?: string; } = {}): EntryState {
        const settings = this.settings.find(one => one.vmId === vmId);
        if (settings === undefined) {
            throw new Error(`VM ${vmId} does not exist in the model`);
        }
        const { seedId } = opts;
        this.incarnation += 1;
        const incarnation = String(this.incarnation);
        const state = createEntryState({ ...settings, isFirstStart: false }, { atMs: this.atMs, incarnation });
        this.states.set(vmId, state);
        if (seedId === undefined) {
            this.dispatch(vmId, { type: "seeds-asked" });
            return state;
        }
        const vms = this.settings.map(one => this.state(one.vmId).hub.self);
        this.schedule(RPC_LATENCY_MS, vmId, () => ({ type: "vms-found", vms }));
        this.runEffect(vmId, { type: "fetch-peer-configuration", peerAddress: seedId });
        this.runEffect(vmId, { type: "fetch-view-snapshot", peerAddress: seedId });
        this.schedule(RPC_LATENCY_MS, vmId, () => ({ type: "seeds-asked" }));
        return state;
    }

    register(server: BackendServer): void {
        this.records.push({ offset: this.records.length, instanceId: server.instanceId, server });
    }

    /** Registers a new server in the first zone. */
    registerServer(instanceId: string): void {
        this.register(createModelServer(instanceId, 0));
    }

    remove(instanceId: string): void {
        this.records.push({ offset: this.records.length, instanceId, server: undefined });
    }

    /** Returns the server as it is registered in the store. */
    registration(instanceId: string): BackendServer {
        const server = this.records.filter(record => record.instanceId === instanceId).at(-1)?.server;
        if (server === undefined) {
            throw new Error(`server ${instanceId} is not registered in the model`);
        }
        return server;
    }

    drain(instanceId: string): void {
        this.register({ ...this.registration(instanceId), isDraining: true });
    }

    get registrationEndOffset(): number {
        return this.records.length;
    }

    get configurationEndOffset(): number {
        return this.operatorTopic.endOffset;
    }

    takeCopy(): ModelStoreCopy {
        return { records: [...this.records], operatorTopic: this.operatorTopic };
    }

    /** Restores the store from a copy. What was written since is lost, and offsets are given out again. */
    restore(copy: ModelStoreCopy): void {
        this.records = [...copy.records];
        this.operatorTopic = copy.operatorTopic;
        this.storeEra += 1;
    }

    /** The servers that are registered in the store. */
    storedServers(): readonly BackendServer[] {
        return selectNewest(this.records).flatMap(({ server }) => server ?? []);
    }

    /** The version of the configuration in the store. */
    storedVersion(): number {
        return this.operatorTopic.configuration?.configuration.version ?? 0;
    }

    /** The operator evacuates a zone, or takes it back. */
    evacuate(zone: string, isEvacuated = true): void {
        this.operatorTopic = this.operatorTopic.with({ zone, isEvacuated });
    }

    publishConfiguration(version: number, tenantsByKey?: ReadonlyMap<string, Tenant>): void {
        const { coldRequestsPerSecond } = this;
        const configuration = createModelConfiguration(version, { coldRequestsPerSecond, tenantsByKey });
        this.operatorTopic = this.operatorTopic.with(configuration);
    }

    state(vmId: string): EntryState {
        const state = this.states.get(vmId);
        if (state === undefined) {
            throw new Error(`VM ${vmId} does not exist in the model`);
        }
        return state;
    }

    get live(): readonly string[] {
        return [...this.states.keys()].filter(vmId => !this.silent.has(vmId));
    }

    get hubs(): readonly string[] {
        return this.live.filter(vmId => this.state(vmId).hub.isHub);
    }

    run(durationMs: number): void {
        const endAtMs = this.atMs + durationMs;
        while (this.atMs < endAtMs) {
            this.atMs += 1;
            const due = this.scheduled.get(this.atMs) ?? [];
            this.scheduled.delete(this.atMs);
            for (const action of due) {
                action();
            }
            if (this.atMs % TICK_MS === 0) {
                for (const vmId of this.live) {
                    this.dispatch(vmId, { type: "tick" });
                }
            }
        }
    }

    /** Runs until the condition holds. Returns the elapsed time, or Infinity when the limit is reached. */
    runUntil(condition: () => boolean, limitMs: number): number {
        const startedAtMs = this.atMs;
        while (!condition()) {
            if (this.atMs - startedAtMs >= limitMs) {
                return Infinity;
            }
            this.run(TICK_MS);
        }
        return this.atMs - startedAtMs;
    }

    /** Sends a request to a VM. Without a path, it differs from all others. */
    arrive(vmId: string, opts: {
        readonly path?: string;
        readonly apiKey?: string;
        readonly onKey?: (requestKey: string) => void;
    } = {}): void {
        this.requestCount += 1;
        const requestKey = String(this.requestCount);
        const path = opts.path ?? `${MODEL_ROUTE.pathPrefix}${requestKey}`;
        opts.onKey?.(requestKey);
        this.dispatch(vmId, {
            type: "request-arrived",
            requestKey,
            requestId: `id-${requestKey}`,
            host: MODEL_ROUTE.host,
            path,
            receivedAtMs: this.atMs,
            deadlineMs: 1_200,
            fingerprint: path,
            apiKey: opts.apiKey,
        });
    }

    dispatch(vmId: string, event: EntryEvent): void {
        const { state, effects } = reduceEntry(this.state(vmId), event, { atMs: this.atMs, random: this.drawRandom() });
        this.states.set(vmId, state);
        for (const effect of effects) {
            this.runEffect(vmId, effect);
        }
    }

    private drawRandom(): number {
        this.random = (this.random * 9.73 + 0.31) % 1;
        return this.random;
    }

    private delivers(vmId: string, peerId: string): boolean {
        return this.states.has(peerId) && !this.isolated.has(vmId) && !this.isolated.has(peerId)
            && (this.lossShare === 0 || this.drawRandom() >= this.lossShare);
    }

    private countDatagram(datagram: {
        readonly from: string;
        readonly to: string;
        readonly bytes: number;
        readonly message: FleetMessage | undefined;
    }): void {
        const { from, to, bytes, message } = datagram;
        this.datagrams += 1;
        this.datagramBytes.set(from, (this.datagramBytes.get(from) ?? 0) + bytes);
        this.datagramBytes.set(to, (this.datagramBytes.get(to) ?? 0) + bytes);
        const loads = message?.type === "updates"
            ? message.loads.length
            : message?.type === "load-answer"
            ? message.servers.length
            : 0;
        this.receivedLoads.set(to, (this.receivedLoads.get(to) ?? 0) + loads);
    }

    private schedule(delayMs: number, vmId: string, create: () => EntryEvent | undefined): void {
        const atMs = this.atMs + Math.max(1, delayMs);
        const actions = this.scheduled.get(atMs) ?? [];
        actions.push(() => {
            const event = this.silent.has(vmId) ? undefined : create();
            if (event !== undefined) {
                this.dispatch(vmId, event);
            }
        });
        this.scheduled.set(atMs, actions);
    }

    private runEffect(vmId: string, effect: EntryEffect): void {
        const load: LoadReport = { inFlight: 0, queued: 0, slots: 2, slownessPercent: 100 };
        switch (effect.type) {
            case "read-store":
                this.readStore(vmId, effect);
                return;
            case "send-message": {
                const bytes = encodeFleetMessage(effect.message);
                const message = decodeFleetMessage(bytes);
                // In the model, the host of a VM is its id.
                for (const peerId of effect.hosts) {
                    if (this.delivers(vmId, peerId)) {
                        this.countDatagram({ from: vmId, to: peerId, bytes: bytes.length, message });
                        this.schedule(
                            this.delayMs,
                            peerId,
                            () => message && toEntryEvent(message, { host: vmId, peerAddress: vmId }),
                        );
                    }
                }
                return;
            }
            case "fetch-view-snapshot":
                this.schedule(RPC_LATENCY_MS, vmId, () => {
                    const snapshot = this.silent.has(effect.peerAddress)
                        ? undefined
                        : selectViewSnapshot(this.state(effect.peerAddress).view, this.atMs);
                    return snapshot === undefined ? undefined : { type: "view-snapshot-received", snapshot };
                });
                this.schedule(RPC_LATENCY_MS, vmId, () => {
                    const peer = this.silent.has(effect.peerAddress) ? undefined : this.state(effect.peerAddress);
                    return peer && { type: "findings-received", findings: selectFindings(peer, this.atMs) };
                });
                return;
            case "fetch-peer-configuration":
                this.schedule(RPC_LATENCY_MS, vmId, () => {
                    const { view } = this.state(effect.peerAddress);
                    const { configuration, configurationReading } = view;
                    if (configuration === undefined || this.silent.has(effect.peerAddress)) {
                        return undefined;
                    }
                    const { confirmation, confirmedAtMs } = configurationReading;
                    const ageMs = this.atMs - confirmedAtMs;
                    const evacuations = listEvacuations(view);
                    return { type: "peer-configuration-received", configuration, ageMs, confirmation, ...evacuations };
                });
                return;
            case "probe-server": {
                const { instanceId } = effect;
                this.probes.push({ vmId, instanceId, atMs: this.atMs });
                const reply = this.respond?.(vmId, effect);
                this.schedule(
                    reply?.delayMs ?? PROBE_LATENCY_MS,
                    vmId,
                    () => reply?.event ?? { type: "probe-answered", instanceId, isHealthy: true, load },
                );
                return;
            }
            default: {
                this.decisions.push({ vmId, effect, atMs: this.atMs });
                const reply = this.respond?.(vmId, effect);
                if (reply !== undefined) {
                    this.schedule(reply.delayMs, vmId, () => reply.event);
                }
            }
        }
    }

    private readStore(vmId: string, effect: Extract<EntryEffect, { readonly type: "read-store"; }>): void {
        const { topic, from } = effect;
        const startedAtMs = this.atMs;
        this.storeReads.push({ vmId, atMs: startedAtMs });
        if (this.withoutStore.has(vmId)) {
            this.schedule(STORE_TIMEOUT_MS, vmId, () => ({ type: "store-read-failed", topic, isExpired: false }));
            return;
        }
        const latencyMs = this.storeLatencyMs + (this.extraAnswerDelayMs.get(vmId) ?? 0);
        const era = this.storeEra;
        const nextOffset = topic === "configuration" ? this.operatorTopic.endOffset : this.records.length;
        if (from !== undefined && from.offset > nextOffset) {
            this.schedule(latencyMs, vmId, () => ({ type: "store-read-failed", topic, isExpired: true, era }));
            return;
        }
        if (topic === "configuration") {
            const page = this.operatorTopic.read(from?.offset);
            this.schedule(latencyMs, vmId, () => ({ type: "configuration-read", startedAtMs, era, from, ...page }));
            return;
        }
        const changes = this.records.slice(from?.offset ?? 0);
        this.schedule(latencyMs, vmId, () =>
            from === undefined
                ? { type: "registrations-listed", startedAtMs, era, registrations: selectNewest(changes), nextOffset }
                : { type: "registrations-read", startedAtMs, era, from, changes, nextOffset, endOffset: nextOffset });
    }
}
