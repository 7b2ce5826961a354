import { setTimeout as sleep } from "node:timers/promises";
import type { JsonLogger } from "./json-logger.js";

const RETRY_INTERVAL_MS = 100;
const LOG_INTERVAL_MS = 10_000;
// The port is held by a process that ends or by a connection of another process, the address has not been assigned to the
// VM yet, or the machine is short of descriptors or memory. Other errors, such as missing permission, stay.
const PASSING_ERRORS: readonly unknown[] = [
    "EADDRINUSE",
    "EADDRNOTAVAIL",
    "EAGAIN",
    "EMFILE",
    "ENFILE",
    "ENETDOWN",
    "ENOBUFS",
    "ENOMEM",
];

interface OpenPortOptions {
    /** Purpose of the port, for the log. */
    readonly name: string;
    readonly address: string;
    readonly nowMs: () => number;
    readonly log: JsonLogger;
    /** Ends the tries. */
    readonly signal: AbortSignal;
}

const isPassing = (error: unknown): boolean =>
    error instanceof Error && "code" in error && PASSING_ERRORS.includes(error.code);

/**
 * Opens a port. Tries again until the signal aborts while the error may pass: a process that gave up would be started
 * again by the platform and meet the same port. Throws other errors, and when the signal aborts.
 */
export const openPort = async (listen: () => Promise<void>, opts: OpenPortOptions): Promise<void> => {
    const { name, address, nowMs, log, signal } = opts;
    const startedAtMs = nowMs();
    let loggedAtMs = -Infinity;
    for (;;) {
        signal.throwIfAborted();
        try {
            await listen();
            if (loggedAtMs !== -Infinity) {
                log.write("port-opened", { name, address, waitedMs: Math.round(nowMs() - startedAtMs) });
            }
            return;
        }
        catch (error) {
            if (!isPassing(error)) {
                throw error;
            }
            if (nowMs() - loggedAtMs >= LOG_INTERVAL_MS) {
                loggedAtMs = nowMs();
                const waitedMs = Math.round(loggedAtMs - startedAtMs);
                log.write("port-unavailable", { name, address, problem: String(error), waitedMs });
            }
        }
        await sleep(RETRY_INTERVAL_MS, undefined, { signal });
    }
};
