import type { MarigoldstallError } from "@marigoldstall/core.error";
import type { Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import { readSettingsOnce } from "./read-settings-once.js";

// The platform writes the file at each start and whenever the settings change, so that a process may find it incomplete.
const RETRY_INTERVAL_MS = 100;
const MAX_ATTEMPTS = 30;

interface ReadSettingsOptions<T> {
    readonly file: string;
    readonly decode: (text: string, opts: { readonly file: string; }) => Result<T, MarigoldstallError>;
    readonly retryIntervalMs?: number;
}

/** Reads a settings file. One that is missing, incomplete or malformed is read again for some time. */
export const readSettings = async <T>(opts: ReadSettingsOptions<T>): Promise<Result<T, MarigoldstallError>> => {
    const { retryIntervalMs = RETRY_INTERVAL_MS } = opts;
    for (let attempt = 1;; attempt += 1) {
        const settings = await readSettingsOnce(opts);
        if (settings.isOk() || attempt === MAX_ATTEMPTS) {
            return settings;
        }
        await sleep(retryIntervalMs);
    }
};
