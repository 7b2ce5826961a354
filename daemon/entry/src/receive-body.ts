import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerConnection } from "./caller-connection.js";
import type { CallerMemory } from "./caller-memory.js";
import { collectPacedBody } from "./collect-paced-body.js";
import type { InputFailure } from "./input-failure.js";
import { limitBodyTime } from "./limit-body-time.js";
import type { PiecePacer } from "./piece-pacer.js";
import type { PooledBody } from "./pooled-body.js";

interface ReceiveBodyOptions {
    readonly response: ServerResponse;
    readonly connection: CallerConnection;
    readonly body: PooledBody;
    readonly memory: CallerMemory;
    readonly pacer: PiecePacer;
    readonly nowMs: () => number;
    readonly maxBodyBytes: number;
    readonly idleTimeoutMs: number;
    readonly onFailed: (failure: InputFailure) => void;
}

/** Receives the body of a caller's request, notes the caller's progress and limits the time that it takes. */
export const receiveBody = (message: IncomingMessage, opts: ReceiveBodyOptions): void => {
    const { response, connection, body, memory, pacer, nowMs, maxBodyBytes, idleTimeoutMs, onFailed } = opts;
    collectPacedBody(message, body, {
        pacer,
        nowMs,
        onPiece: bytes => {
            memory.noteReceived(body, bytes);
            connection.noteProgress();
        },
    });
    limitBodyTime(message, {
        maxBodyBytes,
        idleTimeoutMs,
        response,
        onFailed: failure => {
            if (body.isCollecting) {
                onFailed(failure);
            }
        },
    });
};
