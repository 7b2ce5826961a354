import type { Transition } from "@marigoldstall/core.types";
import type { ViewSummary } from "@marigoldstall/fleet.view";
import { compareHubPriority } from "./compare-hub-priority.js";
import type { FleetMessage } from "./fleet-message.js";
import type { HubEffect } from "./hub-effect.js";
import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { selectHubRank } from "./select-hub-rank.js";
import { selectHubs } from "./select-hubs.js";
import { selectLiveVms } from "./select-live-vms.js";
import { selectMessageDelayMs } from "./select-message-delay-ms.js";

interface TickHubOptions {
    readonly atMs: number;
    readonly summarize: (sinceOffset: number) => ViewSummary;
}

// Time since the last message of a hub in this VM's zone with a higher priority.
const selectHubSilenceMs = (state: HubState, atMs: number): number => {
    let lastHubSeenAtMs = state.startedAtMs;
    for (const { info, lastSeenAsHubAtMs } of state.vms.values()) {
        const hasPriority = info.availabilityZone === state.self.availabilityZone
            && compareHubPriority(info, state.self) < 0;
        if (hasPriority && lastSeenAsHubAtMs > lastHubSeenAtMs) {
            lastHubSeenAtMs = lastSeenAsHubAtMs;
        }
    }
    return atMs - lastHubSeenAtMs;
};

// Each VM decides on its own whether it acts as the hub, by its rank and how long it has seen no hub with a higher
// priority. Nothing is agreed between VMs.
const updateHubRole = (state: HubState, atMs: number, effects: HubEffect[]): HubState => {
    const hubSilenceMs = selectHubSilenceMs(state, atMs);
    const isHub = hubSilenceMs >= HUB_LIMITS.hubTimeoutMs
        && hubSilenceMs >= HUB_LIMITS.hubTimeoutMs + HUB_LIMITS.takeoverStepMs * selectHubRank(state, atMs);
    if (isHub === state.isHub) {
        return state;
    }
    effects.push({ type: "hub-changed", isHub, silentMs: hubSilenceMs });
    return { ...state, isHub };
};

const isVmListDue = (state: HubState, atMs: number): boolean =>
    state.isHub && atMs - state.vmListSentAtMs >= HUB_LIMITS.vmListIntervalMs;

const createMessage = (state: HubState, opts: TickHubOptions, scope: "all" | "own-zone"): FleetMessage => {
    const { outbox, isHub, self } = state;
    const { atMs } = opts;
    const isInScope = (item: { readonly isFromOwnZone: boolean; }): boolean => scope === "all" || item.isFromOwnZone;
    return {
        sender: self,
        isHub,
        summary: opts.summarize(state.announcedOffset),
        loads: [...outbox.loads].filter(([, load]) => isInScope(load)).map(([instanceId, load]) => ({
            instanceId,
            load,
            ageMs: atMs - load.measuredAtMs,
        })),
        sentRequests: outbox.sentRequests.filter(isInScope).map(({ instanceId, sentAtMs }) => ({
            instanceId,
            ageMs: atMs - sentAtMs,
        })),
        vms: isVmListDue(state, atMs)
            ? selectLiveVms(state, atMs).map(({ info, lastSeenAtMs }) => ({ info, ageMs: atMs - lastSeenAtMs }))
            : [],
    };
};

const sendMessages = (state: HubState, opts: TickHubOptions, effects: HubEffect[]): void => {
    const { atMs } = opts;
    const hubs = selectHubs(state, atMs);
    const ownZone = state.self.availabilityZone;
    if (!state.isHub) {
        const hub = hubs.get(ownZone);
        if (hub !== undefined) {
            effects.push({ type: "send-message", hosts: [hub.host], message: createMessage(state, opts, "all") });
        }
        return;
    }
    const members = selectLiveVms(state, atMs).filter(vm => vm.info.availabilityZone === ownZone);
    const otherHubs = [...hubs].filter(([zone]) => zone !== ownZone);
    if (members.length > 0) {
        const hosts = members.map(vm => vm.info.host);
        effects.push({ type: "send-message", hosts, message: createMessage(state, opts, "all") });
    }
    if (otherHubs.length > 0) {
        const hosts = otherHubs.map(([, hub]) => hub.host);
        effects.push({ type: "send-message", hosts, message: createMessage(state, opts, "own-zone") });
    }
};

// Registration changes are repeated for a window of time and left out of the messages after that.
const advanceRepeatWindow = (state: HubState, opts: TickHubOptions): HubState => {
    if (opts.atMs - state.repeatWindowStartedAtMs < HUB_LIMITS.changeRepeatWindowMs) {
        return state;
    }
    return {
        ...state,
        announcedOffset: state.repeatWindowOffset,
        repeatWindowOffset: opts.summarize(Infinity).nextOffset ?? 0,
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
    sendMessages(updated, opts, effects);
    return {
        state: {
            ...advanceRepeatWindow(updated, opts),
            outbox: { loads: new Map(), sentRequests: [], queuedSinceMs: undefined },
            lastSentAtMs: atMs,
            vmListSentAtMs: isVmListDue(updated, atMs) ? atMs : updated.vmListSentAtMs,
        },
        effects,
    };
};
