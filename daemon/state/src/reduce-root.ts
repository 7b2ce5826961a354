import type { Transition } from "@marigoldstall/core.types";
import { selectWritesSnapshots } from "@marigoldstall/fleet.membership";
import { selectPressure, selectProbeCandidates } from "@marigoldstall/routing.state";
import type { RootEffect } from "./root-effect.js";
import type { RootEvent } from "./root-event.js";
import { RootReduction } from "./root-reduction.js";
import type { RootState } from "./root-state.js";

const dispatchEvent = (reduction: RootReduction, event: RootEvent): void => {
    const { atMs } = event;
    switch (event.type) {
        case "request-arrived":
            reduction.startRequest(event.request);
            return;
        case "request-cancelled":
            reduction.cancelRequest(event.requestId);
            return;
        case "attempt-completed":
            reduction.completeAttempt(event.attemptId, event.response);
            return;
        case "attempt-responded":
        case "attempt-failed":
        case "load-probed":
            reduction.dispatchToRouting(event);
            return;
        case "routing-tick":
            reduction.dispatchToRouting({ type: "tick", atMs, random: event.random });
            return;
        case "tick": {
            reduction.dispatchToOwnership({ type: "tick", atMs, wallMs: event.wallMs, random: event.random });
            reduction.dispatchToLedger({ type: "tick", atMs, wallMs: event.wallMs });
            const probed = selectProbeCandidates(reduction.state.routing, atMs);
            const candidates = event.checkAddresses.length === 0
                ? probed
                : [...event.checkAddresses, ...probed.filter(address => !event.checkAddresses.includes(address))];
            reduction.dispatchToMeasuring({ type: "tick", atMs, wallMs: event.wallMs, candidates });
            return;
        }
        case "second-tick":
            reduction.dispatchToMembership({
                type: "pressure-measured",
                atMs,
                pressure: selectPressure(reduction.state.routing),
            });
            reduction.dispatchToMembership({ type: "tick", atMs, random: event.random });
            reduction.dispatchToConfiguration({
                type: "tick",
                atMs,
                wallMs: event.wallMs,
                writesSnapshots: selectWritesSnapshots(reduction.state.membership),
                retentionMs: reduction.state.logRetentionMs,
            });
            return;
        case "vm-list-read":
            reduction.dispatchToMembership({ type: "vm-list-read", atMs, vmList: event.vmList });
            reduction.dispatchToRouting({ type: "vm-list-read", atMs, vmList: event.vmList });
            return;
        case "configuration-log-read":
            reduction.dispatchToConfiguration({ type: "log-read", atMs, ...event.read });
            return;
        case "configuration-log-unavailable":
            reduction.dispatchToConfiguration({ type: "log-unavailable", atMs });
            return;
        case "configuration-fetched":
            reduction.dispatchToConfiguration(event);
            return;
        case "ownership-log-read":
            reduction.dispatchToOwnership({ type: "log-read", atMs, wallMs: event.wallMs, ...event.read });
            return;
        case "ownership-log-unavailable":
            reduction.dispatchToOwnership({ type: "log-unavailable", atMs });
            return;
        case "append-settled":
        case "promise-requested":
        case "promise-answered":
            reduction.dispatchToOwnership(event);
            return;
        case "claim-received":
        case "claim-answered":
        case "settle-received":
        case "settle-answered":
            reduction.dispatchToLedger(event);
            return;
        case "heartbeat-received":
        case "heartbeat-answered":
        case "evidence-received":
            reduction.dispatchToMembership(event);
            return;
        case "stop-started":
            reduction.dispatchToMembership({ type: "stop-started", atMs });
            reduction.dispatchToOwnership({ type: "stop-started", atMs, wallMs: event.wallMs });
            return;
    }
};

/** Reduces one event of the daemon. Pure: the result depends only on the state and the event. */
export const reduceRoot = (state: RootState, event: RootEvent): Transition<RootState, RootEffect> => {
    const reduction = new RootReduction(state, { atMs: event.atMs, wallMs: event.wallMs, random: event.random });
    dispatchEvent(reduction, event);
    return { state: reduction.state, effects: reduction.effects };
};
