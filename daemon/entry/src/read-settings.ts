import { MarigoldstallError } from "@marigoldstall/core.error";
import { err, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";

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
    const { file, decode, retryIntervalMs = RETRY_INTERVAL_MS } = opts;
    for (let attempt = 1;; attempt += 1) {
        const settings = await readOnce(file, decode);
        if (settings.isOk() || attempt === MAX_ATTEMPTS) {
            return settings;
        }
        await sleep(retryIntervalMs);
    }
};

const readOnce = async <T>(
    file: string,
    decode: ReadSettingsOptions<T>["decode"],
): Promise<Result<T, MarigoldstallError>> => {
    try {
        return decode(await readFile(file, "utf8"), { file });
    }
    catch (cause) {
        return err(
            new MarigoldstallError({
                code: "SETTINGS_UNREADABLE",
                message: cause instanceof Error ? cause.message : String(cause),
                step: "read the platform's settings",
                peer: file,
                hint: "check the file that the environment variable of the settings names",
                cause,
            }),
        );
    }
};
