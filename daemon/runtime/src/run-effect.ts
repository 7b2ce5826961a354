import type { Decision } from "@marigoldstall/core.types";
import type { RootEffect } from "@marigoldstall/daemon.state";
import type { FleetCalls } from "./fleet-calls.js";
import type { RequestForwarder } from "./request-forwarder.js";

interface RunEffectOptions {
    readonly forwarder: RequestForwarder;
    readonly fleetCalls: FleetCalls;
    readonly confirmConfiguration: () => void;
    readonly logDecision: (concern: string, decision: Decision) => void;
}

/** Runs one effect of the root reducer. */
export const runEffect = (effect: RootEffect, opts: RunEffectOptions): void => {
    const { forwarder, fleetCalls } = opts;
    switch (effect.type) {
        case "start-attempt":
            forwarder.startAttempt(effect);
            return;
        case "relay-attempt":
            forwarder.relay(effect);
            return;
        case "cancel-attempt":
            forwarder.cancelAttempt(effect);
            return;
        case "finish-request":
            forwarder.finish(effect);
            return;
        case "reject-request":
            forwarder.reject(effect);
            return;
        case "answer-caller":
            forwarder.answerCaller(effect);
            return;
        case "close-connections":
            forwarder.closeConnections(effect.address);
            return;
        case "send-probe":
            forwarder.sendProbe(effect);
            return;
        case "send-heartbeat":
            fleetCalls.sendHeartbeat(effect);
            return;
        case "send-evidence":
            fleetCalls.sendEvidence(effect);
            return;
        case "send-claim":
            fleetCalls.sendClaim(effect);
            return;
        case "send-settle":
            fleetCalls.sendSettle(effect);
            return;
        case "answer-heartbeat":
            fleetCalls.answer(effect.rpcId, effect.heartbeat);
            return;
        case "answer-claim":
        case "answer-promise":
            fleetCalls.answer(effect.rpcId, effect.reply);
            return;
        case "answer-settle":
            fleetCalls.answer(effect.rpcId, {});
            return;
        case "request-promise":
            fleetCalls.requestPromise(effect);
            return;
        case "append-ownership-record":
            fleetCalls.appendOwnership(effect);
            return;
        case "append-configuration-snapshot":
            fleetCalls.appendConfiguration(effect);
            return;
        case "fetch-configuration":
            fleetCalls.fetchConfiguration(effect.peerAddress);
            return;
        case "confirm-configuration":
            opts.confirmConfiguration();
            return;
        case "apply-configuration":
            // No action is needed: the caller listener reads the targets from the state.
            return;
        case "log-decision":
            opts.logDecision(effect.concern, effect.decision);
            return;
    }
};
