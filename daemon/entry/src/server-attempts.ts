import { BodyBudget } from "@marigoldstall/core.http-body";
import type { Clock } from "@marigoldstall/daemon.connections";
import type { BackendPools } from "./backend-pools.js";
import type { BufferedResponse } from "./buffered-response.js";
import type { EntryEffect } from "./entry-effect.js";
import type { EntryEvent } from "./entry-event.js";
import type { EntryMetrics } from "./entry-metrics.js";
import type { OpenRequest } from "./open-request.js";
import type { RefusedInputs } from "./refused-inputs.js";
import { reportMalformedHeaders } from "./report-malformed-headers.js";
import { ServerAttempt } from "./server-attempt.js";

// The smallest VMs have 250 MB, of which the process needs about 60 MB without any request.
const MAX_RESPONSES_BYTES = 64 * 1_024 * 1_024;

interface ServerAttemptsOptions {
    readonly pools: BackendPools;
    readonly metrics: EntryMetrics;
    readonly refusedInputs: RefusedInputs;
    readonly clock: Clock;
    readonly dispatch: (event: EntryEvent) => void;
}

/** The attempts in progress, and the responses that the reducer has not decided about yet. */
export class ServerAttempts {
    private readonly opts: ServerAttemptsOptions;
    private readonly bodyBudget = new BodyBudget({ maxBytes: MAX_RESPONSES_BYTES });
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
        const { pools, metrics, refusedInputs, clock, dispatch } = this.opts;
        if (request === undefined) {
            return;
        }
        const attempt = new ServerAttempt({
            effect,
            request,
            pool: pools.get(instanceId, address),
            clock,
            bodyBudget: this.bodyBudget,
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

    /** Removes and returns the response of an attempt. */
    takeResponse(attemptId: string): BufferedResponse | undefined {
        const response = this.responses.get(attemptId);
        this.responses.delete(attemptId);
        return response;
    }
}
