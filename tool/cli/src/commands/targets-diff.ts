import { diffTargets } from "@marigoldstall/config.targets";
import { err, ok } from "neverthrow";
import type { CommandDefinition } from "../command-definition.js";
import { ExitCode } from "../exit-code.js";
import { readCurrentConfiguration } from "../read-current-configuration.js";
import { readTargetsFile } from "../read-targets-file.js";
import { describeChange } from "./describe-change.js";
import { describeVersion } from "./describe-version.js";
import { summarizeVersion } from "./summarize-version.js";

/** The `targets diff FILE` command. */
export const targetsDiff: CommandDefinition = {
    name: "targets diff",
    help: "Shows what publishing a targets file would change, compared with the newest accepted version.",
    arguments: [{ name: "FILE", help: "targets in YAML" }],
    options: [],
    handler: async (context, input) => {
        const targets = await readTargetsFile(context, input.arguments[0] ?? "");
        if (targets.isErr()) {
            return err(targets.error);
        }
        const connections = await context.connect();
        if (connections.isErr()) {
            return err(connections.error);
        }
        const current = await readCurrentConfiguration(connections.value);
        return current.andThen(({ configuration, source }) => {
            const changes = diffTargets(configuration?.targets, targets.value);
            return ok({
                exitCode: ExitCode.Success,
                json: { against: summarizeVersion(configuration), source, changes },
                lines: [
                    `compared with ${describeVersion(configuration)}, read from the ${source}:`,
                    ...changes.length === 0 ? ["no change"] : changes.map(describeChange),
                ],
            });
        });
    },
};
