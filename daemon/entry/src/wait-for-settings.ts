import { formatError, type MarigoldstallError } from "@marigoldstall/core.error";
import type { Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import type { JsonLogger } from "./json-logger.js";
import { readSettingsOnce } from "./read-settings-once.js";

// The platform writes the file at each start, so that a process may find it incomplete for a moment.
const FIRST_RETRY_INTERVAL_MS = 100;
const RETRY_INTERVAL_MS = 1_000;
const QUICK_ATTEMPTS = 20;
const LOG_INTERVAL_MS = 10_000;

interface WaitForSettingsOptions<T> {
    readonly file: string;
    readonly decode: (text: string, opts: { readonly file: string; }) => Result<T, MarigoldstallError>;
    readonly log: JsonLogger;
}

/**
 * Reads a settings file until it is complete. Never gives up: the platform starts a process that ends again, which would
 * meet the same file.
 */
export const waitForSettings = async <T>(opts: WaitForSettingsOptions<T>): Promise<T> => {
    const { file, log } = opts;
    const startedAtMs = performance.now();
    let loggedAtMs = -Infinity;
    for (let attempt = 1;; attempt += 1) {
        const settings = await readSettingsOnce(opts);
        const nowMs = performance.now();
        const waitedMs = Math.round(nowMs - startedAtMs);
        if (settings.isOk()) {
            if (loggedAtMs !== -Infinity) {
                log.write("settings-read", { file, waitedMs });
            }
            return settings.value;
        }
        const isPersistent = attempt > QUICK_ATTEMPTS;
        if (isPersistent && nowMs - loggedAtMs >= LOG_INTERVAL_MS) {
            loggedAtMs = nowMs;
            log.write("settings-unavailable", { file, problem: formatError(settings.error), waitedMs });
        }
        await sleep(isPersistent ? RETRY_INTERVAL_MS : FIRST_RETRY_INTERVAL_MS);
    }
};
