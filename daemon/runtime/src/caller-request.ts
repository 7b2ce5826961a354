import type { ClassTargets } from "@marigoldstall/core.types";
import type { Clock } from "@marigoldstall/daemon.connections";
import type { StoredResponse } from "@marigoldstall/requests.ledger";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Request on the caller port, from its headers to the end of its response. */
export class CallerRequest {
    readonly requestId: string;
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    readonly targets: ClassTargets;
    readonly path: string;
    readonly callerAttempt: number;
    readonly idempotencyKey: string | undefined;
    readonly arrivedAtMs: number;
    readonly deadlineAtMs: number;
    /** Deadline as wall-clock time, because the monotonic clock may stop while the VM is paused. */
    readonly deadlineWallMs: number;
    /** Body chunks read so far, the complete body once `bodyComplete` is set. */
    chunks: Buffer[] = [];
    bodyBytes = 0;
    bodyComplete = false;
    /** Whether the request was dispatched to the root reducer. */
    dispatched = false;
    /** Whether an attempt streams the unbuffered rest of the body. */
    bodyStreamed = false;
    callerDisconnected = false;
    finished = false;
    /** When the caller last sent or accepted data, used to time out slow callers. */
    lastProgressAtMs: number;
    /** Response to store for repeats of the idempotency key. */
    storedResponse: StoredResponse | undefined;

    constructor(opts: {
        readonly requestId: string;
        readonly message: IncomingMessage;
        readonly response: ServerResponse;
        readonly targets: ClassTargets;
        readonly path: string;
        readonly callerAttempt: number;
        readonly idempotencyKey: string | undefined;
        readonly timeoutMs: number;
        readonly clock: Clock;
    }) {
        this.requestId = opts.requestId;
        this.message = opts.message;
        this.response = opts.response;
        this.targets = opts.targets;
        this.path = opts.path;
        this.callerAttempt = opts.callerAttempt;
        this.idempotencyKey = opts.idempotencyKey;
        this.arrivedAtMs = opts.clock.atMs();
        this.deadlineAtMs = this.arrivedAtMs + opts.timeoutMs;
        this.deadlineWallMs = opts.clock.wallMs() + opts.timeoutMs;
        this.lastProgressAtMs = this.arrivedAtMs;
    }

    get service(): string {
        return this.targets.service;
    }

    /** Value of the `Content-Length` header, undefined for a chunked body. */
    get contentLength(): number | undefined {
        const length = this.message.headers["content-length"];
        return length === undefined ? undefined : Number(length);
    }

    /** Whether the deadline has passed on the monotonic or on the wall clock. */
    isExpired(clock: Clock): boolean {
        return clock.atMs() >= this.deadlineAtMs || clock.wallMs() >= this.deadlineWallMs;
    }
}
