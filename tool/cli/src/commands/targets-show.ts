import { formatTargets } from "@marigoldstall/config.targets";
import { err, ok } from "neverthrow";
import type { CommandDefinition } from "../command-definition.js";
import { ExitCode } from "../exit-code.js";
import { readCurrentConfiguration } from "../read-current-configuration.js";
import { describeVersion } from "./describe-version.js";
import { summarizeVersion } from "./summarize-version.js";

/** The `targets show` command. */
export const targetsShow: CommandDefinition = {
    name: "targets show",
    help: "Prints the newest accepted version as YAML that can be edited and published.",
    arguments: [],
    options: [],
    handler: async context => {
        const connections = await context.connect();
        if (connections.isErr()) {
            return err(connections.error);
        }
        const current = await readCurrentConfiguration(connections.value);
        return current.andThen(({ configuration, source }) =>
            ok({
                exitCode: ExitCode.Success,
                json: { ...summarizeVersion(configuration), source, targets: configuration?.targets },
                lines: [
                    `# ${describeVersion(configuration)}, read from the ${source}`,
                    ...configuration === undefined ? [] : formatTargets(configuration.targets).trimEnd().split("\n"),
                ],
            })
        );
    },
};
