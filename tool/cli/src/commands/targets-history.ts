import type { FoldOutcome } from "@marigoldstall/config.versions";
import { err, ok } from "neverthrow";
import type { CommandDefinition } from "../command-definition.js";
import { ExitCode } from "../exit-code.js";
import { readStream } from "../read-stream.js";
import { describeVersion } from "./describe-version.js";
import { summarizeVersion } from "./summarize-version.js";

const describeVerdict = (verdict: FoldOutcome): string => {
    switch (verdict.type) {
        case "accepted":
            return `accepted   ${describeVersion(verdict.configuration)}`;
        case "snapshot-adopted":
            return `snapshot   ${describeVersion(verdict.configuration)}`;
        case "rejected":
            return `rejected   ${verdict.publishId} by ${verdict.author}: ${verdict.reason}`;
        case "undecided":
            return `undecided  ${verdict.publishId}: earlier records have been removed`;
        case "malformed":
            return `malformed  ${verdict.reason.split("\n", 1)[0] ?? ""}`;
        case "snapshot-seen":
            return "snapshot";
    }
};

const toJson = (verdict: FoldOutcome): unknown =>
    "configuration" in verdict ? { ...verdict, configuration: summarizeVersion(verdict.configuration) } : verdict;

/** `targets history` */
export const targetsHistory: CommandDefinition = {
    name: "targets history",
    help: "Lists the records that the log still holds, oldest first: accepted versions and rejected ones.",
    arguments: [],
    options: [],
    handler: async context => {
        const connections = await context.connect();
        if (connections.isErr()) {
            return err(connections.error);
        }
        const stream = await readStream(connections.value.log);
        if (stream.isErr()) {
            return err({ exitCode: ExitCode.Unreachable, error: stream.error });
        }
        const shown = stream.value.verdicts.filter(verdict => verdict.type !== "snapshot-seen");
        return ok({
            exitCode: ExitCode.Success,
            json: { isComplete: stream.value.fold.isComplete, records: shown.map(toJson) },
            lines: shown.length === 0
                ? ["the log holds no published version"]
                : shown.map(verdict => `offset ${String(verdict.offset).padStart(6)}  ${describeVerdict(verdict)}`),
        });
    },
};
