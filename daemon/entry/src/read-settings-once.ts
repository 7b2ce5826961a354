import { MarigoldstallError } from "@marigoldstall/core.error";
import { err, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";

interface ReadSettingsOnceOptions<T> {
    readonly file: string;
    readonly decode: (text: string, opts: { readonly file: string; }) => Result<T, MarigoldstallError>;
}

/** Reads a settings file. */
export const readSettingsOnce = async <T>(
    opts: ReadSettingsOnceOptions<T>,
): Promise<Result<T, MarigoldstallError>> => {
    const { file, decode } = opts;
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
