import type { Transition } from "@marigoldstall/core.types";
import { selectWritesSnapshots } from "@marigoldstall/fleet.membership";
import { selectPressure, selectProbeCandidates } from "@marigoldstall/routing.state";
import type { RootEffect } from "./root-effect.js";
import type { RootEvent } from "./root-event.js";
import type { RootState } from "./root-state.js";
import { RootStep } from "./root-step.js";

const dispatch = (step: RootStep, event: RootEvent): void => {
    const { atMs } = event;
    switch (event.type) {
        case "request-arrived":
            step.arrive(event.request);
            return;
        case "request-cancelled":
            step.cancel(event.requestId);
            return;
        case "attempt-completed":
            step.complete(event.attemptId, event.response);
            return;
        case "attempt-responded":
        case "attempt-failed":
        case "load-probed":
            step.routing(event);
            return;
        case "routing-tick":
            step.routing({ type: "tick", atMs, random: event.random });
            return;
        case "tick": {
            step.ownership({ type: "tick", atMs, wallMs: event.wallMs, random: event.random });
            step.ledger({ type: "tick", atMs, wallMs: event.wallMs });
            const probed = selectProbeCandidates(step.state.routing, atMs);
            const candidates = event.checkAddresses.length === 0
                ? probed
                : [...event.checkAddresses, ...probed.filter(address => !event.checkAddresses.includes(address))];
            step.measuring({ type: "tick", atMs, wallMs: event.wallMs, candidates });
            return;
        }
        case "second-tick":
            step.membership({ type: "pressure-measured", atMs, pressure: selectPressure(step.state.routing) });
            step.membership({ type: "tick", atMs, random: event.random });
            step.configuration({
                type: "tick",
                atMs,
                wallMs: event.wallMs,
                writesSnapshots: selectWritesSnapshots(step.state.membership),
                retentionMs: step.state.retentionMs,
            });
            return;
        case "vm-list-read":
            step.membership({ type: "vm-list-read", atMs, vmList: event.vmList });
            step.routing({ type: "vm-list-read", atMs, vmList: event.vmList });
            return;
        case "configuration-log-read":
            step.configuration({ type: "log-read", atMs, ...event.read });
            return;
        case "configuration-log-unavailable":
            step.configuration({ type: "log-unavailable", atMs });
            return;
        case "configuration-fetched":
            step.configuration(event);
            return;
        case "ownership-log-read":
            step.ownership({ type: "log-read", atMs, wallMs: event.wallMs, ...event.read });
            return;
        case "ownership-log-unavailable":
            step.ownership({ type: "log-unavailable", atMs });
            return;
        case "append-settled":
        case "promise-requested":
        case "promise-answered":
            step.ownership(event);
            return;
        case "claim-received":
        case "claim-answered":
        case "settle-received":
        case "settle-answered":
            step.ledger(event);
            return;
        case "heartbeat-received":
        case "heartbeat-answered":
        case "evidence-received":
            step.membership(event);
            return;
        case "stop-started":
            step.membership({ type: "stop-started", atMs });
            step.ownership({ type: "stop-started", atMs, wallMs: event.wallMs });
            return;
    }
};

/** Reduces one event of the daemon. Pure: the same state and event always give the same state and effects. */
export const reduceRoot = (state: RootState, event: RootEvent): Transition<RootState, RootEffect> => {
    const step = new RootStep(state, { atMs: event.atMs, wallMs: event.wallMs, random: event.random });
    dispatch(step, event);
    return { state: step.state, effects: step.effects };
};
