import { setTimeout as sleep } from "node:timers/promises";
import type { JsonLogger } from "./json-logger.js";

const RETRY_INTERVAL_MS = 100;
// The port is still held by a process that ends, or the address has not been assigned to the VM yet.
const PASSING_ERRORS: readonly unknown[] = ["EADDRINUSE", "EADDRNOTAVAIL"];

interface OpenPortOptions {
    /** Purpose of the port, for the log. */
    readonly name: string;
    readonly address: string;
    /** How long to wait for a port that is in use. */
    readonly timeoutMs: number;
    readonly nowMs: () => number;
    readonly log: JsonLogger;
}

const isPassing = (error: unknown): boolean =>
    error instanceof Error && "code" in error && PASSING_ERRORS.includes(error.code);

/** Opens a port. Tries again while it is in use, at most until the timeout, after which the last error is thrown. */
export const openPort = async (listen: () => Promise<void>, opts: OpenPortOptions): Promise<void> => {
    const { name, address, nowMs, log } = opts;
    const startedAtMs = nowMs();
    for (let attempt = 1;; attempt += 1) {
        try {
            await listen();
            if (attempt > 1) {
                log.write("port-opened", { name, address, waitedMs: Math.round(nowMs() - startedAtMs) });
            }
            return;
        }
        catch (error) {
            if (!isPassing(error) || nowMs() - startedAtMs >= opts.timeoutMs) {
                throw error;
            }
            if (attempt === 1) {
                log.write("port-unavailable", { name, address, problem: String(error) });
            }
            await sleep(RETRY_INTERVAL_MS);
        }
    }
};
