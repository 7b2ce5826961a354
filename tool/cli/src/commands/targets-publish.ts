import { diffTargets, digestTargets } from "@marigoldstall/config.targets";
import { publishId } from "@marigoldstall/config.versions";
import type { PublishOptions, PublishOutcome } from "@marigoldstall/config.versions";
import { MarigoldstallError } from "@marigoldstall/core.error";
import type { AcceptedConfiguration, Targets } from "@marigoldstall/core.types";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CommandDefinition } from "../command-definition.js";
import type { CommandFailure } from "../command-failure.js";
import type { CommandInput } from "../command-input.js";
import type { CommandResult } from "../command-result.js";
import type { Connections } from "../connections.js";
import { ExitCode } from "../exit-code.js";
import { readCurrent } from "../read-current.js";
import { readTargetsFile } from "../read-targets-file.js";
import type { ToolContext } from "../tool-context.js";
import { usageFailure } from "../usage-failure.js";
import { describeChange } from "./describe-change.js";
import { describeVersion } from "./describe-version.js";
import { runPublish } from "./run-publish.js";
import { summarizeVersion } from "./summarize-version.js";
import { waitUntilInForce } from "./wait-until-in-force.js";

interface PublishCall {
    readonly context: ToolContext;
    readonly connections: Connections;
    readonly input: CommandInput;
    readonly file: string;
    readonly targets: Targets;
}

type CommandOutcome = Result<CommandResult, CommandFailure>;

const STEP = "publish targets";
const DEFAULT_WAIT_TIMEOUT_MS = 30_000;

const fail = (
    exitCode: ExitCode,
    opts: {
        readonly code: string;
        readonly message: string;
        readonly hint: string;
        readonly details?: CommandFailure["details"];
    },
): CommandOutcome => {
    const { code, message, hint, details } = opts;
    return err({ exitCode, error: new MarigoldstallError({ code, message, step: STEP, hint }), details });
};

const describeFailure = (outcome: PublishOutcome, call: PublishCall): CommandOutcome => {
    switch (outcome.type) {
        case "conflict":
            return fail(ExitCode.Conflict, {
                code: "PUBLISH_CONFLICT",
                message: `not published, another publish came first: ${describeVersion(outcome.winner)}`,
                hint: "compare with targets diff, then publish again",
                details: {
                    outcome: "conflict",
                    winner: summarizeVersion(outcome.winner),
                    publishId: outcome.publishId,
                },
            });
        case "unknown": {
            const { supersededBy } = outcome;
            const message = supersededBy === undefined
                ? `the record may or may not be in the log, publish id ${outcome.publishId}`
                : `the log no longer shows whether ${outcome.publishId} took effect; `
                    + `it cannot take effect from now on, because ${describeVersion(supersededBy)} is newer`;
            return fail(ExitCode.OutcomeUnknown, {
                code: "PUBLISH_UNKNOWN",
                message: outcome.error === undefined ? message : `${message} (${outcome.error.message})`,
                hint: supersededBy === undefined
                    ? `run: marigoldstall targets publish ${call.file} --resume ${outcome.publishId}`
                    : "compare with targets diff, then publish again",
                details: {
                    outcome: "unknown",
                    publishId: outcome.publishId,
                    supersededBy: summarizeVersion(supersededBy),
                },
            });
        }
        case "failed":
            return err({
                exitCode: ExitCode.Unreachable,
                error: outcome.error,
                details: { outcome: "failed", written: false },
            });
        default:
            throw new Error(`no failure: ${outcome.type}`);
    }
};

const finishAccepted = async (call: PublishCall, configuration: AcceptedConfiguration): Promise<CommandOutcome> => {
    const json = { outcome: "accepted", ...summarizeVersion(configuration) };
    const lines = [`accepted: ${describeVersion(configuration)}`];
    if (configuration.digest !== digestTargets(call.targets)) {
        return fail(ExitCode.UsageOrInvalidFile, {
            code: "PUBLISH_DIFFERS",
            message: `${
                describeVersion(configuration)
            } was accepted, but with other targets than ${call.file} holds now`,
            hint: "compare with targets diff, and publish the file without --resume if it is meant",
            details: json,
        });
    }
    if (call.input.options["wait"] !== true) {
        return ok({ exitCode: ExitCode.Success, json, lines });
    }
    const vms = await waitUntilInForce(call.connections, {
        context: call.context,
        version: configuration.version,
        timeoutMs: Number(call.input.options["waitTimeoutMs"] ?? DEFAULT_WAIT_TIMEOUT_MS),
    });
    const missing = vms.filter(entry => !entry.inForce);
    if (vms.length > 0 && missing.length === 0) {
        return ok({
            exitCode: ExitCode.Success,
            json: { ...json, inForceEverywhere: true, vms },
            lines: [...lines, `in force at all ${vms.length} entry VMs`],
        });
    }
    return fail(ExitCode.NotInForceOrDegraded, {
        code: "NOT_IN_FORCE",
        message: vms.length === 0
            ? `version ${configuration.version} is accepted, but the VM list gave no entry VM to ask`
            : `version ${configuration.version} is accepted, but not yet in force at ${
                missing.map(entry => entry.vmId).join(", ")
            }`,
        hint: "it cannot revert and comes into force as soon as these VMs reach the log or a peer; see status",
        details: { ...json, inForceEverywhere: false, vms },
    });
};

const finishPlanned = (
    call: PublishCall,
    parent: AcceptedConfiguration | undefined,
    version: number,
): CommandOutcome => {
    const changes = diffTargets(parent?.targets, call.targets);
    return ok({
        exitCode: ExitCode.Success,
        json: { outcome: "planned", version, parent: summarizeVersion(parent), changes },
        lines: [
            `would publish version ${version} on top of ${describeVersion(parent)}:`,
            ...changes.length === 0 ? ["no change"] : changes.map(describeChange),
        ],
    });
};

const publishNew = async (call: PublishCall, opts: PublishOptions): Promise<CommandOutcome> => {
    const { context, connections, input, targets } = call;
    const plan = await runPublish(connections.log, { context, publish: { ...opts, isDryRun: true } });
    if (plan.type !== "planned") {
        return describeFailure(plan, call);
    }
    const { record } = plan;
    let { parent } = plan;
    if (record.restartAtOffset !== undefined) {
        const current = await readCurrent(connections);
        parent = current.isOk() ? current.value.configuration : undefined;
        context.reportProgress(`the log holds no version any more; a new series starts at version ${record.version}`);
    }
    if (parent !== undefined && parent.targets.site !== targets.site && input.options["allowSiteChange"] !== true) {
        return fail(ExitCode.UsageOrInvalidFile, {
            code: "SITE_MISMATCH",
            message: `${call.file} is for site ${targets.site}, but the version in force is for ${parent.targets.site}`,
            hint: "check the file and the settings; --allow-site-change publishes it all the same",
        });
    }
    if (input.options["dryRun"] === true) {
        return finishPlanned(call, parent, record.version);
    }
    // The checks above hold for this parent only, so a publish in between is a conflict.
    const ifVersion = record.restartAtOffset === undefined ? record.parentVersion : undefined;
    const outcome = await runPublish(connections.log, { context, publish: { ...opts, ifVersion } });
    return outcome.type === "accepted" ? finishAccepted(call, outcome.configuration) : describeFailure(outcome, call);
};

const publishAgain = async (call: PublishCall, opts: PublishOptions): Promise<CommandOutcome> => {
    const outcome = await runPublish(call.connections.log, { context: call.context, publish: opts });
    return outcome.type === "accepted" ? finishAccepted(call, outcome.configuration) : describeFailure(outcome, call);
};

const checkUsage = ({ options }: CommandInput): CommandFailure | undefined => {
    const resumed = options["resume"];
    if (resumed !== undefined && publishId.parse(String(resumed)) === undefined) {
        return usageFailure("--resume needs a publish id", "copy the publish id from the message of the earlier run");
    }
    if (resumed !== undefined && (options["ifVersion"] !== undefined || options["dryRun"] === true)) {
        return usageFailure("--resume goes neither with --if-version nor with --dry-run");
    }
    const waits = options["wait"] === true;
    return options["waitTimeoutMs"] !== undefined && !waits
        ? usageFailure("--wait-timeout-ms goes with --wait only")
        : undefined;
};

/** `targets publish FILE` */
export const targetsPublish: CommandDefinition = {
    name: "targets publish",
    help: "Publishes a targets file as the next version. Once accepted, it cannot revert.",
    arguments: [{ name: "FILE", help: "targets in YAML" }],
    options: [
        { flags: "--if-version <N>", help: "publish only on top of version N; 0 is before the first", minimum: 0 },
        { flags: "--wait", help: "wait until the version is in force at all live entry VMs" },
        {
            flags: "--wait-timeout-ms <N>",
            help: `longest wait in milliseconds (default ${DEFAULT_WAIT_TIMEOUT_MS})`,
            minimum: 1,
        },
        { flags: "--dry-run", help: "show what would change and append nothing" },
        { flags: "--resume <PUBLISH_ID>", help: "settle an earlier run of the same file whose outcome is unknown" },
        { flags: "--allow-site-change", help: "publish targets of another site than the version in force" },
    ],
    handler: async (context, input) => {
        const misuse = checkUsage(input);
        if (misuse !== undefined) {
            return err(misuse);
        }
        const file = input.arguments[0] ?? "";
        const targets = await readTargetsFile(context, file);
        if (targets.isErr()) {
            return err(targets.error);
        }
        const connections = await context.connect();
        if (connections.isErr()) {
            return err(connections.error);
        }
        const call = { context, connections: connections.value, input, file, targets: targets.value };
        const { ifVersion, resume } = input.options;
        const opts: PublishOptions = {
            author: connections.value.settings.operator.name,
            targets: targets.value,
            uniqueId: context.createUniqueId(),
            ifVersion: ifVersion === undefined ? undefined : Number(ifVersion),
            resumePublishId: resume === undefined ? undefined : String(resume),
        };
        return resume === undefined ? publishNew(call, opts) : publishAgain(call, opts);
    },
};
