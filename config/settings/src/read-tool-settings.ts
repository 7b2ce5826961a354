import { checkYaml, field } from "@marigoldstall/config.schema";
import type { InvalidFileError } from "@marigoldstall/config.schema";
import type { Result } from "neverthrow";
import { controlKeyField } from "./control-key-field.js";
import type { ReadSettingsOptions } from "./read-settings-options.js";
import type { ToolSettings } from "./tool-settings.js";

// Control characters and line breaks would corrupt terminal output that lists the authors of versions.
const OPERATOR_NAME_PATTERN = /^[^\p{C}\p{Zl}\p{Zp}]{1,100}$/u;

const toolSettingsSchema = field.struct({
    operator: field.struct({
        name: field.text({
            expected: "a name of 1 to 100 printable characters",
            accepts: value => OPERATOR_NAME_PATTERN.test(value),
        }),
    }),
    platform: field.struct({ log: field.address, vmList: field.address }),
    security: field.struct({ controlKey: controlKeyField }),
});

/** Parses and validates the settings of the command-line tool. The error lists every problem with line and key. */
export const readToolSettings = (text: string, opts: ReadSettingsOptions): Result<ToolSettings, InvalidFileError> =>
    checkYaml(text, {
        file: opts.file,
        code: "SETTINGS_INVALID",
        step: "read tool settings",
        hint: "correct the file; docs/operators.md lists every key",
        schema: toolSettingsSchema,
        secretKeys: ["controlKey"],
    });
