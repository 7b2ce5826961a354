import type { FoldOutcome } from "@marigoldstall/config.versions";
import { err, ok } from "neverthrow";
import type { CommandDefinition } from "../command-definition.js";
import { ExitCode } from "../exit-code.js";
import { readConfigurationStream } from "../read-configuration-stream.js";
import { describeVersion } from "./describe-version.js";
import { summarizeVersion } from "./summarize-version.js";

const describeOutcome = (outcome: FoldOutcome): string => {
    switch (outcome.type) {
        case "accepted":
            return `accepted   ${describeVersion(outcome.configuration)}`;
        case "snapshot-adopted":
            return `snapshot   ${describeVersion(outcome.configuration)}`;
        case "rejected":
            return `rejected   ${outcome.publishId} by ${outcome.author}: ${outcome.reason}`;
        case "undecided":
            return `undecided  ${outcome.publishId}: earlier records were removed from the log`;
        case "malformed":
            return `malformed  ${outcome.reason.split("\n", 1)[0] ?? ""}`;
        case "snapshot-seen":
            return "snapshot";
    }
};

const toJson = (outcome: FoldOutcome): unknown =>
    "configuration" in outcome ? { ...outcome, configuration: summarizeVersion(outcome.configuration) } : outcome;

/** The `targets history` command. */
export const targetsHistory: CommandDefinition = {
    name: "targets history",
    help: "Lists the accepted and rejected versions that the log retains, oldest first.",
    arguments: [],
    options: [],
    handler: async context => {
        const connections = await context.connect();
        if (connections.isErr()) {
            return err(connections.error);
        }
        const stream = await readConfigurationStream(connections.value.log);
        if (stream.isErr()) {
            return err({ exitCode: ExitCode.Unreachable, error: stream.error });
        }
        const shown = stream.value.outcomes.filter(outcome => outcome.type !== "snapshot-seen");
        return ok({
            exitCode: ExitCode.Success,
            json: { isComplete: stream.value.fold.isComplete, records: shown.map(toJson) },
            lines: shown.length === 0
                ? ["the log contains no published version"]
                : shown.map(outcome => `offset ${String(outcome.offset).padStart(6)}  ${describeOutcome(outcome)}`),
        });
    },
};
