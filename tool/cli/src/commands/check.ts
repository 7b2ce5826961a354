import { checkConfiguration } from "@marigoldstall/platform.adapter";
import { err, ok } from "neverthrow";
import type { CommandDefinition } from "../command-definition.js";
import { ExitCode } from "../exit-code.js";
import { readInputFile } from "../read-input-file.js";
import { describeFinding } from "./describe-finding.js";

const STEP = "read the configuration";

/** The `check FILE` command. */
export const check: CommandDefinition = {
    name: "check",
    help: "Checks a configuration of the users' platform offline, with the decoder of the daemons.",
    arguments: [{ name: "FILE", help: "configuration in JSON" }],
    options: [{ flags: "--against <FILE>", help: "also list the differences from this version" }],
    handler: async (context, input) => {
        const file = input.arguments[0] ?? "";
        const text = await readInputFile(context, file, { step: STEP });
        if (text.isErr()) {
            return err(text.error);
        }
        const againstFile = input.options["against"];
        const against = againstFile === undefined
            ? ok(undefined)
            : await readInputFile(context, String(againstFile), { step: STEP });
        return against.map(againstText => {
            const findings = checkConfiguration(text.value, { against: againstText });
            const isValid = findings.every(({ severity }) => severity === "difference");
            return {
                exitCode: isValid ? ExitCode.Success : ExitCode.Findings,
                json: { valid: isValid, file, against: againstFile, findings },
                lines: [...findings.map(describeFinding), ...isValid ? [`${file} is valid`] : []],
            };
        });
    },
};
