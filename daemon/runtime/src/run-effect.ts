import type { Decision } from "@marigoldstall/core.types";
import type { RootEffect } from "@marigoldstall/daemon.state";
import type { FleetCalls } from "./fleet-calls.js";
import type { RequestPath } from "./request-path.js";

interface RunEffectOptions {
    readonly path: RequestPath;
    readonly fleet: FleetCalls;
    readonly confirmConfiguration: () => void;
    readonly record: (concern: string, decision: Decision) => void;
}

/** Runs one effect of the root reducer. */
export const runEffect = (effect: RootEffect, opts: RunEffectOptions): void => {
    const { path, fleet } = opts;
    switch (effect.type) {
        case "start-attempt":
            path.startAttempt(effect);
            return;
        case "relay-attempt":
            path.relay(effect);
            return;
        case "cancel-attempt":
            path.cancelAttempt(effect);
            return;
        case "finish-request":
            path.finish(effect);
            return;
        case "reject-request":
            path.reject(effect);
            return;
        case "answer-caller":
            path.answerCaller(effect);
            return;
        case "close-connections":
            path.closeConnections(effect.address);
            return;
        case "send-probe":
            path.probe(effect);
            return;
        case "send-heartbeat":
            fleet.sendHeartbeat(effect);
            return;
        case "send-evidence":
            fleet.sendEvidence(effect);
            return;
        case "send-claim":
            fleet.sendClaim(effect);
            return;
        case "send-settle":
            fleet.sendSettle(effect);
            return;
        case "answer-heartbeat":
            fleet.answer(effect.rpcId, effect.heartbeat);
            return;
        case "answer-claim":
        case "answer-promise":
            fleet.answer(effect.rpcId, effect.reply);
            return;
        case "answer-settle":
            fleet.answer(effect.rpcId, {});
            return;
        case "request-promise":
            fleet.requestPromise(effect);
            return;
        case "append-ownership-record":
            fleet.appendOwnership(effect);
            return;
        case "append-configuration-snapshot":
            fleet.appendConfiguration(effect);
            return;
        case "fetch-configuration":
            fleet.fetchConfiguration(effect.peerAddress);
            return;
        case "confirm-configuration":
            opts.confirmConfiguration();
            return;
        case "apply-configuration":
            // In force as soon as the reducer has it; the caller port reads it from the state.
            return;
        case "log-decision":
            opts.record(effect.concern, effect.decision);
            return;
    }
};
