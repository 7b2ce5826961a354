import { selectLiveVms } from "@marigoldstall/fleet.hubs";
import type { BackendPools } from "./backend-pools.js";
import type { CallerListener } from "./caller-listener.js";
import type { EntryEffect } from "./entry-effect.js";
import type { EntryEvent } from "./entry-event.js";
import type { EntryMetrics } from "./entry-metrics.js";
import type { EntryState } from "./entry-state.js";
import type { FleetJoiner } from "./fleet-joiner.js";
import type { FleetSocket } from "./fleet-socket.js";
import type { HealthChecks } from "./health-checks.js";
import type { JsonLogger } from "./json-logger.js";
import { logDecision } from "./log-decision.js";
import type { PeerRpc } from "./peer-rpc.js";
import type { ServerAttempts } from "./server-attempts.js";
import type { StoreReader } from "./store-reader.js";
import { toFailureEvent } from "./to-failure-event.js";

// Answer to a request whose response was lost in the daemon. It may have run.
const LOST_RESPONSE_REJECTION = { statusCode: 502, reason: "internal-error", retryAfterMs: undefined };

interface EffectRunnerOptions {
    readonly metrics: EntryMetrics;
    readonly log: JsonLogger;
    readonly storeReader: StoreReader;
    readonly peerRpc: PeerRpc;
    readonly joiner: FleetJoiner;
    readonly fleetSocket: FleetSocket;
    readonly pools: BackendPools;
    readonly serverAttempts: ServerAttempts;
    readonly healthChecks: HealthChecks;
    readonly callerListener: CallerListener;
    readonly nowMs: () => number;
    readonly state: () => EntryState;
    readonly dispatch: (event: EntryEvent) => void;
    readonly reportFault: (step: string, error: unknown) => void;
}

/** Executes the effects of the reducer on the sockets and services of the daemon. */
export class EffectRunner {
    private readonly opts: EffectRunnerOptions;

    constructor(opts: EffectRunnerOptions) {
        this.opts = opts;
    }

    /** Executes an effect. One that fails half-way still ends in a result for the reducer and a response for the caller. */
    run(effect: EntryEffect): void {
        try {
            this.execute(effect);
        }
        catch (error) {
            this.onFailed(effect, error);
        }
    }

    private onFailed(effect: EntryEffect, error: unknown): void {
        const { callerListener, serverAttempts, dispatch, reportFault } = this.opts;
        reportFault(effect.type, error);
        if (effect.type === "relay-response" || effect.type === "reject-request") {
            callerListener.reject(effect.requestKey, LOST_RESPONSE_REJECTION);
            return;
        }
        if (effect.type === "start-attempt") {
            serverAttempts.cancel(effect.attemptId);
        }
        const event = toFailureEvent(effect);
        if (event !== undefined) {
            dispatch(event);
        }
    }

    private runAsync(effect: EntryEffect, task: Promise<unknown>): void {
        task.catch((error: unknown) => {
            this.onFailed(effect, error);
        });
    }

    private execute(effect: EntryEffect): void {
        const { metrics, log, callerListener, serverAttempts, healthChecks, storeReader, peerRpc } = this.opts;
        switch (effect.type) {
            case "read-store":
                metrics.storeReads.inc({ topic: effect.topic });
                this.runAsync(
                    effect,
                    effect.topic === "registrations"
                        ? storeReader.readRegistrations(effect.from)
                        : storeReader.readConfiguration(effect.from),
                );
                return;
            case "fetch-view-snapshot":
                this.runAsync(effect, peerRpc.fetchSnapshot(effect.peerAddress));
                return;
            case "fetch-peer-configuration":
                this.runAsync(effect, peerRpc.fetchConfiguration(effect.peerAddress));
                return;
            case "servers-changed":
                return;
            case "configuration-adopted":
                callerListener.applyLimits(effect.configuration.limits);
                log.write("configuration-in-force", { version: effect.configuration.version });
                return;
            case "evacuations-changed":
                for (const zone of effect.evacuatedZones) {
                    log.write("zone-evacuated", { zone, source: effect.source });
                }
                for (const zone of effect.restoredZones) {
                    log.write("zone-restored", { zone, source: effect.source });
                }
                return;
            case "store-restored":
                log.write("store-restored", { era: effect.era, previousEra: effect.previousEra });
                this.runAsync(effect, this.rejoin());
                return;
            case "outdated-read-ignored":
            case "store-lost":
            case "store-regained": {
                const { type, ...fields } = effect;
                log.write(type, fields);
                return;
            }
            case "send-message":
                metrics.datagrams.inc({ direction: "sent", type: effect.message.type }, effect.hosts.length);
                this.opts.fleetSocket.send(effect.hosts, effect.message);
                return;
            case "hub-changed":
                log.write("hub-changed", { isHub: effect.isHub, silentMs: Math.round(effect.silentMs) });
                return;
            case "start-attempt":
                serverAttempts.start(effect, callerListener.find(effect.requestKey));
                return;
            case "check-server":
                healthChecks.sendPreflightCheck(effect);
                return;
            case "cancel-attempt":
                serverAttempts.cancel(effect.attemptId);
                return;
            case "relay-response": {
                const bufferedResponse = serverAttempts.takeResponse(effect.attemptId);
                if (bufferedResponse === undefined) {
                    throw new Error(`the response of attempt ${effect.attemptId} is missing`);
                }
                callerListener.relay(effect.requestKey, bufferedResponse);
                return;
            }
            case "discard-response":
                serverAttempts.discardResponse(effect.attemptId);
                return;
            case "reject-request":
                callerListener.reject(effect.requestKey, effect);
                return;
            case "probe-server":
                healthChecks.sendProbe(effect);
                return;
            case "verify-server":
                healthChecks.verifyServer(effect);
                return;
            case "close-connections":
                this.opts.pools.remove(effect.instanceId);
                return;
            case "log-decision":
                logDecision(effect.decision, { metrics, log });
                return;
        }
    }

    private rejoin(): Promise<void> {
        const { joiner, state, nowMs } = this.opts;
        return joiner.rejoin(() => selectLiveVms(state().hub, nowMs()).map(vm => vm.info));
    }
}
