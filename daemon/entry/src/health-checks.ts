import type { LoadReport, ServerDirectives } from "@marigoldstall/core.types";
import { decodeServerResponseHead } from "@marigoldstall/platform.adapter";
import type { BackendPools } from "./backend-pools.js";
import type { EntryEffect } from "./entry-effect.js";
import type { EntryEvent } from "./entry-event.js";
import type { EntryMetrics } from "./entry-metrics.js";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import type { RefusedInputs } from "./refused-inputs.js";
import { reportMalformedHeaders } from "./report-malformed-headers.js";

const STATUS_OK = 200;
const CONNECTION_REFUSED = "ECONNREFUSED";

interface ServerHealth {
    readonly isHealthy: boolean;
    readonly load: LoadReport | undefined;
    readonly directives: ServerDirectives | undefined;
}

interface HealthChecksOptions {
    readonly pools: BackendPools;
    readonly metrics: EntryMetrics;
    readonly refusedInputs: RefusedInputs;
    readonly dispatch: (event: EntryEvent) => void;
}

/** Sends the health checks of backend servers: periodic probes, and preflight checks right before a request. */
export class HealthChecks {
    private readonly opts: HealthChecksOptions;

    constructor(opts: HealthChecksOptions) {
        this.opts = opts;
    }

    sendProbe(effect: Extract<EntryEffect, { readonly type: "probe-server"; }>): void {
        const { instanceId } = effect;
        this.requestHealth(effect, { timeoutMs: ENTRY_TIMINGS.probeTimeoutMs }, health => {
            this.opts.dispatch(
                health === undefined
                    ? { type: "probe-failed", instanceId }
                    : { type: "probe-answered", instanceId, ...health },
            );
        });
    }

    sendPreflightCheck(effect: Extract<EntryEffect, { readonly type: "check-server"; }>): void {
        const { attemptId } = effect;
        this.requestHealth(effect, { timeoutMs: ENTRY_TIMINGS.preflightTimeoutMs }, health => {
            this.opts.dispatch({
                type: "server-checked",
                attemptId,
                isAnswered: health !== undefined,
                isHealthy: health?.isHealthy === true,
                load: health?.load,
                directives: health?.directives,
            });
        });
    }

    /** Checks on a new connection whether a server still runs. */
    verifyServer(effect: Extract<EntryEffect, { readonly type: "verify-server"; }>): void {
        const { instanceId, askedAtMs, address, healthPath } = effect;
        const opts = { method: "GET", path: healthPath, timeoutMs: ENTRY_TIMINGS.probeTimeoutMs, mode: "new" as const };
        this.opts.pools.get(instanceId, address).exchange(
            { ...opts, expectsInstanceId: true },
            (result, connectErrorCode) => {
                const isGone = connectErrorCode === CONNECTION_REFUSED
                    || (result?.instanceId !== undefined && result.instanceId !== instanceId);
                const verdict = isGone ? "gone" : result?.instanceId === instanceId ? "running" : "unknown";
                this.opts.metrics.probes.inc({ result: verdict === "running" ? "answered" : "failed" });
                this.opts.dispatch({ type: "server-verified", instanceId, askedAtMs, result: verdict });
            },
        );
    }

    private requestHealth(
        server: { readonly instanceId: string; readonly address: string; readonly healthPath: string; },
        opts: { readonly timeoutMs: number; },
        callback: (health: ServerHealth | undefined) => void,
    ): void {
        const { instanceId, address, healthPath } = server;
        const { pools, metrics, refusedInputs } = this.opts;
        pools.get(instanceId, address).exchange({
            method: "GET",
            path: healthPath,
            timeoutMs: opts.timeoutMs,
            mode: "any",
            expectsInstanceId: true,
        }, result => {
            // Another instance may have taken over the address, in which case the response does not apply to this one.
            const isAnswered = result?.instanceId === instanceId;
            metrics.probes.inc({ result: isAnswered ? "answered" : "failed" });
            if (result === undefined || !isAnswered) {
                callback(undefined);
                return;
            }
            const head = decodeServerResponseHead(result.statusCode, result.headers);
            reportMalformedHeaders(head, { instanceId, refusedInputs, metrics });
            callback({ isHealthy: result.statusCode === STATUS_OK, load: head.load, directives: head.directives });
        });
    }
}
