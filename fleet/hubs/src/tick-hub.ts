import type { Transition } from "@marigoldstall/core.types";
import type { StorePosition, ViewSummary } from "@marigoldstall/fleet.view";
import type { UsageReport } from "@marigoldstall/routing.quotas";
import { compareHubPriority } from "./compare-hub-priority.js";
import { countHeardVms } from "./count-heard-vms.js";
import { createWarmUpUpdate } from "./create-warm-up-update.js";
import type { Findings } from "./findings.js";
import type { HubEffect } from "./hub-effect.js";
import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import type { KnownVm } from "./known-vm.js";
import { selectBatchDelayMs } from "./select-batch-delay-ms.js";
import { selectFleetSize } from "./select-fleet-size.js";
import { selectHeartbeatIntervalMs } from "./select-heartbeat-interval-ms.js";
import { selectHubRank } from "./select-hub-rank.js";
import { selectHubTimeoutMs } from "./select-hub-timeout-ms.js";
import { selectHubs } from "./select-hubs.js";
import { selectLiveVms } from "./select-live-vms.js";
import { selectMessageDelayMs } from "./select-message-delay-ms.js";
import { selectReconnectTargets } from "./select-reconnect-targets.js";
import type { StatusMessage } from "./status-message.js";
import type { UpdatesMessage } from "./updates-message.js";
import type { VmLiveness } from "./vm-liveness.js";

interface TickHubOptions {
    readonly atMs: number;
    readonly summarize: (since: StorePosition | undefined) => ViewSummary;
    readonly listFindings: () => Findings;
    readonly reportUsage?: () => UsageReport | undefined;
    readonly metered?: readonly string[] | "all" | undefined;
}

// Time since the last message of a hub in this VM's zone with a higher priority.
const selectHubSilenceMs = (state: HubState, atMs: number): number => {
    let lastHubSeenAtMs = state.expectsHubSinceMs;
    for (const { info, lastSeenAsHubAtMs } of state.vms.values()) {
        // Few VMs were ever seen as hub, so this comes before the comparisons of text.
        const isLater = lastSeenAsHubAtMs > lastHubSeenAtMs;
        if (
            isLater && info.availabilityZone === state.self.availabilityZone && compareHubPriority(info, state.self) < 0
        ) {
            lastHubSeenAtMs = lastSeenAsHubAtMs;
        }
    }
    return atMs - lastHubSeenAtMs;
};

// Each VM decides on its own whether it acts as the hub, by its rank and how long it has seen no hub with a higher
// priority. Nothing is agreed between VMs.
const updateHubRole = (state: HubState, atMs: number, effects: HubEffect[]): HubState => {
    const hubSilenceMs = selectHubSilenceMs(state, atMs);
    const hubTimeoutMs = selectHubTimeoutMs(state, atMs);
    const isHub = hubSilenceMs >= hubTimeoutMs
        && hubSilenceMs >= hubTimeoutMs + HUB_LIMITS.takeoverStepMs * selectHubRank(state, atMs);
    if (isHub === state.isHub) {
        return state;
    }
    effects.push({ type: "hub-changed", isHub, silentMs: hubSilenceMs });
    return { ...state, isHub };
};

const isInOwnZone = (state: HubState, vm: KnownVm): boolean => vm.info.availabilityZone === state.self.availabilityZone;

// The VMs of this zone, and the hubs of the others, which a member has to know when it takes over as hub.
const selectAnnouncedVms = (state: HubState, atMs: number): readonly VmLiveness[] => {
    const hubIds = new Set([...selectHubs(state, atMs).values()].map(({ vmId }) => vmId));
    return selectLiveVms(state, atMs)
        .filter(vm => isInOwnZone(state, vm) || hubIds.has(vm.info.vmId))
        .map(({ info, lastSeenAtMs }) => ({ info, ageMs: atMs - lastSeenAtMs }));
};

const createHeartbeat = (
    state: HubState,
    opts: TickHubOptions & { readonly includesVms: boolean; },
): StatusMessage => ({
    type: "status",
    sender: state.self,
    isHub: state.isHub,
    summary: opts.summarize(state.announced),
    vms: opts.includesVms ? selectAnnouncedVms(state, opts.atMs) : [],
    fleetSize: selectFleetSize(state, opts.atMs),
    quotas: opts.metered === undefined || !state.isHub
        ? undefined
        : { heardVms: countHeardVms(state, opts.atMs), metered: opts.metered },
});

const createUpdates = (state: HubState, atMs: number, usage: UsageReport | undefined): UpdatesMessage => ({
    type: "updates",
    vmId: state.self.vmId,
    loads: [...state.outbox.loads].map(([instanceId, { warmUp, ...load }]) => ({
        instanceId,
        load,
        ageMs: atMs - load.measuredAtMs,
        ...warmUp === undefined ? {} : { warmUp: createWarmUpUpdate(warmUp, atMs) },
    })),
    sentRequests: state.outbox.sentRequests.map(({ instanceId, sentAtMs }) => ({
        instanceId,
        ageMs: atMs - sentAtMs,
    })),
    failures: state.outbox.failures,
    usage,
});

const selectMembers = (state: HubState, atMs: number): readonly string[] =>
    selectLiveVms(state, atMs).filter(vm => isInOwnZone(state, vm)).map(vm => vm.info.host);

// The hubs to which this VM reports: its own one, or those of the other zones if it is the hub itself.
const selectReceivers = (state: HubState, atMs: number): readonly string[] =>
    [...selectHubs(state, atMs)]
        .filter(([zone]) => (zone === state.self.availabilityZone) !== state.isHub)
        .map(([, hub]) => hub.host);

const sendUpdates = (state: HubState, opts: TickHubOptions, effects: HubEffect[]): HubState => {
    const { atMs } = opts;
    const { queuedSinceMs } = state.outbox;
    if (queuedSinceMs === undefined || atMs - queuedSinceMs < selectBatchDelayMs(state)) {
        return state;
    }
    const { loads, sentRequests, failures, hasChangedFindings, hasChangedUsage } = state.outbox;
    const hosts = selectReceivers(state, atMs);
    const usage = hasChangedUsage && hosts.length > 0 ? opts.reportUsage?.() : undefined;
    if (hosts.length > 0 && (usage !== undefined || loads.size + sentRequests.length + failures.length > 0)) {
        effects.push({ type: "send-message", hosts, message: createUpdates(state, atMs, usage) });
    }
    const outbox = {
        loads: new Map(),
        sentRequests: [],
        failures: [],
        hasChangedFindings: false,
        hasChangedUsage: false,
        queuedSinceMs: undefined,
    };
    if (!hasChangedFindings) {
        return { ...state, outbox };
    }
    // A member without a hub keeps what it learned until there is one. A hub repeats all findings anyway.
    return hosts.length === 0 && !state.isHub
        ? { ...state, outbox: { ...outbox, hasChangedFindings, queuedSinceMs: atMs } }
        : sendFindings({ ...state, outbox }, opts, effects);
};

const NO_FINDINGS: Findings = { limits: [], leaving: [], suspects: [] };

const splitIntoMessages = <Item>(items: readonly Item[], itemsPerMessage: number): readonly (readonly Item[])[] =>
    [...Array(Math.ceil(items.length / itemsPerMessage)).keys()].map(index =>
        items.slice(index * itemsPerMessage, (index + 1) * itemsPerMessage)
    );

const sendFindings = (state: HubState, opts: TickHubOptions, effects: HubEffect[]): HubState => {
    const { atMs } = opts;
    const { limits, leaving, suspects } = opts.listFindings();
    const hosts = [...selectReceivers(state, atMs), ...state.isHub ? selectMembers(state, atMs) : []];
    const send = (findings: Partial<Findings>): void => {
        if (hosts.length > 0) {
            const message = { type: "findings" as const, vmId: state.self.vmId, ...NO_FINDINGS, ...findings };
            effects.push({ type: "send-message", hosts, message });
        }
    };
    splitIntoMessages(limits, HUB_LIMITS.limitsPerMessage).forEach(part => send({ limits: part }));
    splitIntoMessages(leaving, HUB_LIMITS.limitsPerMessage).forEach(part => send({ leaving: part }));
    splitIntoMessages(suspects, HUB_LIMITS.suspectsPerMessage).forEach(part => send({ suspects: part }));
    return { ...state, findingsSentAtMs: atMs };
};

const repeatFindings = (state: HubState, opts: TickHubOptions, effects: HubEffect[]): HubState =>
    state.isHub && opts.atMs - state.findingsSentAtMs >= HUB_LIMITS.findingsRepeatIntervalMs
        ? sendFindings(state, opts, effects)
        : state;

const isVmListDue = (state: HubState, atMs: number): boolean =>
    state.isHub && atMs - state.vmListSentAtMs >= HUB_LIMITS.vmListIntervalMs;

const sendHeartbeat = (state: HubState, opts: TickHubOptions, effects: HubEffect[]): HubState => {
    const { atMs } = opts;
    const includesVms = isVmListDue(state, atMs);
    const intervalMs = state.isHub ? selectHeartbeatIntervalMs(state, atMs) : HUB_LIMITS.memberHeartbeatIntervalMs;
    if (!includesVms && atMs - state.heartbeatSentAtMs < intervalMs) {
        return state;
    }
    const hosts = state.isHub
        ? selectMembers(state, atMs)
        : selectReceivers(state, atMs);
    if (hosts.length > 0) {
        effects.push({ type: "send-message", hosts, message: createHeartbeat(state, { ...opts, includesVms }) });
    }
    return { ...advanceRepeatWindow(state, opts), heartbeatSentAtMs: atMs };
};

// Traffic between zones is billed, so the other hubs get fewer heartbeats than the members.
const sendHeartbeatToPeers = (state: HubState, opts: TickHubOptions, effects: HubEffect[]): HubState => {
    const { atMs } = opts;
    const includesVms = isVmListDue(state, atMs);
    if (!state.isHub || (!includesVms && atMs - state.peersInformedAtMs < HUB_LIMITS.hubPeerIntervalMs)) {
        return state;
    }
    const hosts = selectReceivers(state, atMs);
    if (hosts.length > 0) {
        effects.push({ type: "send-message", hosts, message: createHeartbeat(state, { ...opts, includesVms }) });
    }
    return { ...state, peersInformedAtMs: atMs };
};

const reconnect = (state: HubState, opts: TickHubOptions, effects: HubEffect[]): HubState => {
    const { atMs } = opts;
    if (!state.isHub || atMs - state.reconnectTriedAtMs < HUB_LIMITS.reconnectIntervalMs) {
        return state;
    }
    const hosts = selectReconnectTargets(state, atMs);
    if (hosts.length > 0) {
        effects.push({ type: "send-message", hosts, message: createHeartbeat(state, { ...opts, includesVms: true }) });
    }
    return { ...state, reconnectTriedAtMs: atMs, reconnectAttempts: state.reconnectAttempts + 1 };
};

// Registration changes are repeated for a window of time and left out of the messages after that.
const advanceRepeatWindow = (state: HubState, opts: TickHubOptions): HubState => {
    if (opts.atMs - state.repeatWindowStartedAtMs < HUB_LIMITS.changeRepeatWindowMs) {
        return state;
    }
    return {
        ...state,
        announced: state.repeatWindowEnd,
        repeatWindowEnd: opts.summarize(undefined).next,
        repeatWindowStartedAtMs: opts.atMs,
    };
};

/** Starts or stops acting as the hub, and sends the messages that are due. */
export const tickHub = (state: HubState, opts: TickHubOptions): Transition<HubState, HubEffect> => {
    const { atMs } = opts;
    const effects: HubEffect[] = [];
    const updated = updateHubRole(state, atMs, effects);
    if (selectMessageDelayMs(updated, atMs) > 0) {
        return { state: updated, effects };
    }
    const isListDue = isVmListDue(updated, atMs);
    const withUpdates = repeatFindings(sendUpdates(updated, opts, effects), opts, effects);
    const withHeartbeats = sendHeartbeat(sendHeartbeatToPeers(withUpdates, opts, effects), opts, effects);
    const sent = reconnect(withHeartbeats, opts, effects);
    return { state: isListDue ? { ...sent, vmListSentAtMs: atMs } : sent, effects };
};
