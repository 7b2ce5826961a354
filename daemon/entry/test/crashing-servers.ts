import type { EntryEffect } from "@marigoldstall/daemon.entry";
import type { FleetModel } from "./fleet-model.js";
import type { ModelReply } from "./model-reply.js";
import { MODEL_ROUTE } from "./model-route.js";

const WORK_MS = 100;
const ROUND_TRIP_MS = 3;
const CRASH_AFTER_MS = 30;
const DOWN_MS = 4_000;

interface CrashingServersOptions {
    /** Path of the request that ends each server that runs it. */
    readonly deadlyPath: string;
}

/** Backend servers of the fleet model that end under one request and are back after some seconds. */
export class CrashingServers {
    /** When the deadly request reached a server. */
    readonly deadlyArrivalsMs: number[] = [];
    readonly crashesMs: number[] = [];
    private readonly model: FleetModel;
    private readonly opts: CrashingServersOptions;
    private readonly downFromMs = new Map<string, number>();
    private readonly pathsByRequestKey = new Map<string, string>();

    constructor(model: FleetModel, opts: CrashingServersOptions) {
        this.model = model;
        this.opts = opts;
        model.respond = (vmId, effect) => this.respond(vmId, effect);
    }

    /** Remembers the path of a request, by which the servers decide. */
    note(requestKey: string, path: string): void {
        this.pathsByRequestKey.set(requestKey, path);
    }

    /** Ends servers for another reason. */
    crash(instanceIds: readonly string[]): void {
        for (const instanceId of instanceIds) {
            this.downFromMs.set(instanceId, this.model.atMs);
        }
    }

    private isDown(instanceId: string): boolean {
        const fromMs = this.downFromMs.get(instanceId) ?? Infinity;
        return this.model.atMs >= fromMs && this.model.atMs < fromMs + DOWN_MS;
    }

    private respond(vmId: string, effect: EntryEffect): ModelReply | undefined {
        switch (effect.type) {
            case "probe-server": {
                const { instanceId } = effect;
                return this.isDown(instanceId)
                    ? { delayMs: ROUND_TRIP_MS, event: { type: "probe-failed", instanceId } }
                    : undefined;
            }
            case "check-server": {
                const isUp = !this.isDown(effect.instanceId);
                const load = isUp ? { inFlight: 0, queued: 0, slots: 2, slownessPercent: 100 } : undefined;
                const { attemptId } = effect;
                return {
                    delayMs: ROUND_TRIP_MS,
                    event: { type: "server-checked", attemptId, isAnswered: isUp, isHealthy: isUp, load },
                };
            }
            case "verify-server": {
                const { instanceId, askedAtMs } = effect;
                const result = this.isDown(instanceId) ? "gone" : "running";
                return { delayMs: ROUND_TRIP_MS, event: { type: "server-verified", instanceId, askedAtMs, result } };
            }
            case "start-attempt":
                return this.startAttempt(vmId, effect);
            default:
                return undefined;
        }
    }

    private startAttempt(vmId: string, effect: Extract<EntryEffect, { readonly type: "start-attempt"; }>): ModelReply {
        const { attemptId, instanceId, requestKey } = effect;
        const { atMs } = this.model;
        if (this.isDown(instanceId)) {
            const reason = `connect-failed from ${vmId}`;
            return {
                delayMs: ROUND_TRIP_MS,
                event: { type: "attempt-failed", attemptId, failure: "unsent", reason },
            };
        }
        const isDeadly = this.pathsByRequestKey.get(requestKey) === this.opts.deadlyPath;
        if (isDeadly) {
            this.deadlyArrivalsMs.push(atMs);
            this.crashesMs.push(atMs + CRASH_AFTER_MS);
            this.downFromMs.set(instanceId, atMs + CRASH_AFTER_MS);
        }
        const brokenAtMs = this.downFromMs.get(instanceId) ?? Infinity;
        if (brokenAtMs > atMs && brokenAtMs <= atMs + WORK_MS) {
            return {
                delayMs: brokenAtMs - atMs + 1,
                event: {
                    type: "attempt-failed",
                    attemptId,
                    failure: "lost",
                    reason: "connection: reset",
                    isConnectionBroken: true,
                },
            };
        }
        return {
            delayMs: WORK_MS,
            event: {
                type: "attempt-answered",
                attemptId,
                statusCode: 200,
                notRun: false,
                bodyBytes: 400,
                cutsOtherRequests: false,
                load: undefined,
            },
        };
    }

    /** A path of the model's route. */
    static path(name: string): string {
        return `${MODEL_ROUTE.pathPrefix}${name}`;
    }
}
