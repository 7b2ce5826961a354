import type { ClassTargets } from "@marigoldstall/core.types";
import type { Clock } from "@marigoldstall/daemon.connections";
import type { StoredResponse } from "@marigoldstall/requests.ledger";
import type { IncomingMessage, ServerResponse } from "node:http";

/** One request on the caller port, from its headers to the end of its answer. */
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
    /** The deadline on the wall clock: a pause of the VM may stop the monotonic clock. */
    readonly deadlineWallMs: number;
    /** Body chunks read so far. They are the whole body when `bodyComplete`. */
    chunks: Buffer[] = [];
    bodyBytes = 0;
    bodyComplete = false;
    /** Whether the request was handed to the root reducer. */
    dispatched = false;
    /** Whether an attempt has taken the part of the body that is not buffered. */
    bodyTaken = false;
    callerGone = false;
    finished = false;
    /** When the caller last took or sent bytes; limits slow callers. */
    progressAtMs: number;
    /** Response kept for repeats of the key. */
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
        this.progressAtMs = this.arrivedAtMs;
    }

    get service(): string {
        return this.targets.service;
    }

    /** Length that the caller stated, undefined for a chunked body. */
    get statedBytes(): number | undefined {
        const length = this.message.headers["content-length"];
        return length === undefined ? undefined : Number(length);
    }

    /** Whether the deadline has passed on the monotonic or on the wall clock. */
    isExpired(clock: Clock): boolean {
        return clock.atMs() >= this.deadlineAtMs || clock.wallMs() >= this.deadlineWallMs;
    }
}
