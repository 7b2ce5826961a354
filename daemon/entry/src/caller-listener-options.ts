import type { BlockPool } from "./block-pool.js";
import type { CallerLimit } from "./caller-limit.js";
import type { CallerMemory } from "./caller-memory.js";
import type { InputFailure } from "./input-failure.js";
import type { OpenRequest } from "./open-request.js";
import type { PiecePacer } from "./piece-pacer.js";

export interface CallerListenerOptions {
    readonly memory?: CallerMemory;
    readonly pacer?: PiecePacer;
    readonly blockPool?: BlockPool;
    /** Default: no limit. */
    readonly maxConnections?: number;
    /** Largest number of requests without a complete response. Default: no limit. */
    readonly maxRequests?: number;
    readonly isStopping: () => boolean;
    readonly nowMs: () => number;
    /** Whether a request that was passed on may run again. Called right after `onRequest`. */
    readonly isIdempotent: (requestKey: string) => boolean;
    readonly onRequest: (request: OpenRequest, receivedAtMs: number, deadlineMs: number | undefined) => void;
    readonly onCallerLeft: (requestKey: string) => void;
    /** Called when a caller sent something that is no request, or sent it too slowly. */
    readonly onInputRefused: (failure: InputFailure, fields: Readonly<Record<string, unknown>>) => void;
    /** Called when a request was refused or a connection closed for what callers hold together. */
    readonly onLimited?: (limit: CallerLimit, fields: Readonly<Record<string, unknown>>) => void;
    /** Called when a response could not be sent as it should. */
    readonly onFault: (step: string, error: unknown) => void;
}
