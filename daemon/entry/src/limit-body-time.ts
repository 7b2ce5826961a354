import { decodeCallerRequestHead } from "@marigoldstall/platform.adapter";
import type { IncomingMessage, ServerResponse } from "node:http";
import { computeBodyTimeMs } from "./compute-body-time-ms.js";
import type { InputFailure } from "./input-failure.js";
import { selectBodyBytes } from "./select-body-bytes.js";

const STATUS_REQUEST_TIMEOUT = 408;
// Node.js runs timers with longer delays at once.
const MAX_TIMER_MS = 2_147_483_647;

interface LimitBodyTimeOptions {
    readonly maxBodyBytes: number;
    readonly idleTimeoutMs: number;
    readonly response: ServerResponse;
    readonly onFailed: (failure: InputFailure) => void;
}

/** Limits the time that a body takes as a whole. */
export const limitBodyTime = (message: IncomingMessage, opts: LimitBodyTimeOptions): void => {
    const { maxBodyBytes, idleTimeoutMs, response, onFailed } = opts;
    const { deadlineMs } = decodeCallerRequestHead(message.headers);
    const bodyBytes = Math.min(maxBodyBytes, selectBodyBytes(message));
    const timeMs = computeBodyTimeMs({ bodyBytes, idleTimeoutMs, deadlineMs });
    const timer = setTimeout(() => {
        onFailed({
            kind: "caller-input-body-too-slow",
            statusCode: STATUS_REQUEST_TIMEOUT,
            problem: `the body took longer than ${Math.round(timeMs)} ms`,
        });
    }, Math.min(timeMs, MAX_TIMER_MS));
    const stop = (): void => {
        clearTimeout(timer);
    };
    message.on("end", stop);
    // Node.js does not close a request whose response was sent before its end.
    response.on("close", stop);
};
