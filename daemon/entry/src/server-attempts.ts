import type { Clock } from "@marigoldstall/daemon.connections";
import type { BackendPools } from "./backend-pools.js";
import type { BlockPool } from "./block-pool.js";
import type { BufferedResponse } from "./buffered-response.js";
import type { CallerMemory } from "./caller-memory.js";
import type { EntryEffect } from "./entry-effect.js";
import type { EntryEvent } from "./entry-event.js";
import type { EntryMetrics } from "./entry-metrics.js";
import type { OpenRequest } from "./open-request.js";
import type { PiecePacer } from "./piece-pacer.js";
import type { RefusedInputs } from "./refused-inputs.js";
import { reportMalformedHeaders } from "./report-malformed-headers.js";
import { ServerAttempt } from "./server-attempt.js";

interface ServerAttemptsOptions {
    readonly pools: BackendPools;
    readonly metrics: EntryMetrics;
    readonly refusedInputs: RefusedInputs;
    readonly clock: Clock;
    readonly memory: CallerMemory;
    readonly pacer: PiecePacer;
    readonly blockPool: BlockPool;
    readonly dispatch: (event: EntryEvent) => void;
}

/** The attempts in progress, and the responses that the reducer has not decided about yet. */
export class ServerAttempts {
    private readonly opts: ServerAttemptsOptions;
    private readonly attempts = new Map<string, ServerAttempt>();
    private readonly responses = new Map<string, BufferedResponse>();

    constructor(opts: ServerAttemptsOptions) {
        this.opts = opts;
    }

    start(
        effect: Extract<EntryEffect, { readonly type: "start-attempt"; }>,
        request: OpenRequest | undefined,
    ): void {
        const { attemptId, instanceId, address } = effect;
        const { pools, metrics, refusedInputs, clock, memory, pacer, blockPool, dispatch } = this.opts;
        if (request === undefined) {
            return;
        }
        const attempt = new ServerAttempt({
            effect,
            request,
            pool: pools.get(instanceId, address),
            clock,
            memory,
            pacer,
            blockPool,
            onHead: head => {
                reportMalformedHeaders(head, { instanceId, refusedInputs, metrics });
            },
            onResponse: ({ bufferedResponse, notRun, load, directives }) => {
                this.attempts.delete(attemptId);
                metrics.attempts.inc({ result: notRun ? "not-run" : "answered" });
                this.responses.set(attemptId, bufferedResponse);
                dispatch({
                    type: "attempt-answered",
                    attemptId,
                    statusCode: bufferedResponse.statusCode,
                    notRun,
                    bodyBytes: bufferedResponse.body.length,
                    // Without a length, only the end of the connection tells the caller that the response is over.
                    cutsOtherRequests: !bufferedResponse.isFramed && request.hasFollowers(),
                    load,
                    directives,
                });
            },
            onFailed: (failure, reason, details) => {
                this.attempts.delete(attemptId);
                metrics.attempts.inc({ result: failure });
                dispatch({ type: "attempt-failed", attemptId, failure, reason, ...details });
            },
        });
        this.attempts.set(attemptId, attempt);
        attempt.start();
    }

    cancel(attemptId: string): void {
        this.attempts.get(attemptId)?.cancel();
        this.attempts.delete(attemptId);
    }

    /** Removes the response of an attempt that is not relayed. */
    discardResponse(attemptId: string): void {
        this.takeResponse(attemptId)?.collector?.release();
    }

    /** Removes and returns the response of an attempt. Whoever takes it releases its memory. */
    takeResponse(attemptId: string): BufferedResponse | undefined {
        const response = this.responses.get(attemptId);
        this.responses.delete(attemptId);
        return response;
    }
}
