import type { Transition } from "@marigoldstall/core.types";
import type { ViewSummary } from "@marigoldstall/fleet.view";
import { compareVms } from "./compare-vms.js";
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

// How long no hub of a better rank was heard in the own zone.
const silentMs = (state: HubState, atMs: number): number => {
    let heardAtMs = state.startedAtMs;
    for (const { info, hubAtMs } of state.vms.values()) {
        const isAhead = info.availabilityZone === state.self.availabilityZone && compareVms(info, state.self) < 0;
        if (isAhead && hubAtMs > heardAtMs) {
            heardAtMs = hubAtMs;
        }
    }
    return atMs - heardAtMs;
};

const electHub = (state: HubState, atMs: number, effects: HubEffect[]): HubState => {
    const silent = silentMs(state, atMs);
    const isHub = silent >= HUB_LIMITS.hubSilenceMs
        && silent >= HUB_LIMITS.hubSilenceMs + HUB_LIMITS.takeOverStepMs * selectHubRank(state, atMs);
    if (isHub === state.isHub) {
        return state;
    }
    effects.push({ type: "hub-changed", isHub, silentMs: silent });
    return { ...state, isHub };
};

const tellsVms = (state: HubState, atMs: number): boolean =>
    state.isHub && atMs - state.vmListSentAtMs >= HUB_LIMITS.vmListIntervalMs;

const createMessage = (state: HubState, opts: TickHubOptions, scope: "all" | "own-zone"): FleetMessage => {
    const { outbox, isHub, self } = state;
    const { atMs } = opts;
    const isWanted = (news: { readonly isOfOwnZone: boolean; }): boolean => scope === "all" || news.isOfOwnZone;
    return {
        sender: self,
        isHub,
        summary: opts.summarize(state.toldOffset),
        loads: [...outbox.loads].filter(([, load]) => isWanted(load)).map(([instanceId, load]) => ({
            instanceId,
            load,
            ageMs: atMs - load.measuredAtMs,
        })),
        sendings: outbox.sendings.filter(isWanted).map(({ instanceId, sentAtMs }) => ({
            instanceId,
            ageMs: atMs - sentAtMs,
        })),
        vms: tellsVms(state, atMs)
            ? selectLiveVms(state, atMs).map(({ info, aliveAtMs }) => ({ info, ageMs: atMs - aliveAtMs }))
            : [],
    };
};

const send = (state: HubState, opts: TickHubOptions, effects: HubEffect[]): void => {
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
    const others = [...hubs].filter(([zone]) => zone !== ownZone);
    if (members.length > 0) {
        const hosts = members.map(vm => vm.info.host);
        effects.push({ type: "send-message", hosts, message: createMessage(state, opts, "all") });
    }
    if (others.length > 0) {
        const hosts = others.map(([, hub]) => hub.host);
        effects.push({ type: "send-message", hosts, message: createMessage(state, opts, "own-zone") });
    }
};

// Changes of registrations are told for a while; what has been told that long is left out from then on.
const advanceTold = (state: HubState, opts: TickHubOptions): HubState => {
    if (opts.atMs - state.tellingSinceMs < HUB_LIMITS.changeRepeatMs) {
        return state;
    }
    return {
        ...state,
        toldOffset: state.tellingOffset,
        tellingOffset: opts.summarize(Infinity).nextOffset ?? 0,
        tellingSinceMs: opts.atMs,
    };
};

/** Becomes a hub or stops being one, and sends what is due. */
export const tickHub = (state: HubState, opts: TickHubOptions): Transition<HubState, HubEffect> => {
    const { atMs } = opts;
    const effects: HubEffect[] = [];
    const elected = electHub(state, atMs, effects);
    if (selectMessageDelayMs(elected, atMs) > 0) {
        return { state: elected, effects };
    }
    send(elected, opts, effects);
    return {
        state: {
            ...advanceTold(elected, opts),
            outbox: { loads: new Map(), sendings: [], sinceMs: undefined },
            sentAtMs: atMs,
            vmListSentAtMs: tellsVms(elected, atMs) ? atMs : elected.vmListSentAtMs,
        },
        effects,
    };
};
