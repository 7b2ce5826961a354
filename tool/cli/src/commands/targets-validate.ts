import { digestTargets } from "@marigoldstall/config.targets";
import { ok } from "neverthrow";
import type { CommandDefinition } from "../command-definition.js";
import { ExitCode } from "../exit-code.js";
import { readTargetsFile } from "../read-targets-file.js";

/** The `targets validate FILE` command. */
export const targetsValidate: CommandDefinition = {
    name: "targets validate",
    help: "Validates a targets file offline and lists every problem with its line and key.",
    arguments: [{ name: "FILE", help: "targets in YAML" }],
    options: [],
    handler: async (context, input) => {
        const file = input.arguments[0] ?? "";
        const targets = await readTargetsFile(context, file);
        return targets.andThen(value => {
            const digest = digestTargets(value);
            const services = new Set(value.classes.map(target => target.service)).size;
            return ok({
                exitCode: ExitCode.Success,
                json: { valid: true, file, site: value.site, classes: value.classes.length, services, digest },
                lines: [
                    `${file} is valid: site ${value.site}, ${value.classes.length} classes of ${services} services`,
                    `digest ${digest}`,
                ],
            });
        });
    },
};
