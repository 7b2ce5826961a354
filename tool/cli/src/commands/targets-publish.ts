import { diffTargets, digestTargets } from "@marigoldstall/config.targets";
import { publishId } from "@marigoldstall/config.versions";
import type { PublishOptions, PublishOutcome } from "@marigoldstall/config.versions";
import { MarigoldstallError } from "@marigoldstall/core.error";
import type { AcceptedConfiguration, Targets } from "@marigoldstall/core.types";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CommandContext } from "../command-context.js";
import type { CommandDefinition } from "../command-definition.js";
import type { CommandFailure } from "../command-failure.js";
import type { CommandInput } from "../command-input.js";
import type { CommandResult } from "../command-result.js";
import type { Connections } from "../connections.js";
import { createUsageFailure } from "../create-usage-failure.js";
import { ExitCode } from "../exit-code.js";
import { readCurrentConfiguration } from "../read-current-configuration.js";
import { readTargetsFile } from "../read-targets-file.js";
import { describeChange } from "./describe-change.js";
import { describeVersion } from "./describe-version.js";
import { runPublish } from "./run-publish.js";
import { summarizeVersion } from "./summarize-version.js";
import { waitUntilInForce } from "./wait-until-in-force.js";

interface PublishInvocation {
    readonly context: CommandContext;
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

const failPublish = (outcome: PublishOutcome, invocation: PublishInvocation): CommandOutcome => {
    switch (outcome.type) {
        case "conflict":
            return fail(ExitCode.Conflict, {
                code: "PUBLISH_CONFLICT",
                message: `not published, another version was accepted first: ${describeVersion(outcome.winner)}`,
                hint: "run targets diff to compare, then publish again",
                details: {
                    outcome: "conflict",
                    winner: summarizeVersion(outcome.winner),
                    publishId: outcome.publishId,
                },
            });
        case "unknown": {
            const { supersededBy } = outcome;
            const message = supersededBy === undefined
                ? `it is unknown whether the record was written to the log, publish id ${outcome.publishId}`
                : `the log no longer shows whether ${outcome.publishId} took effect; `
                    + `it can no longer take effect, because ${describeVersion(supersededBy)} is newer`;
            return fail(ExitCode.OutcomeUnknown, {
                code: "PUBLISH_UNKNOWN",
                message: outcome.error === undefined ? message : `${message} (${outcome.error.message})`,
                hint: supersededBy === undefined
                    ? `run: marigoldstall targets publish ${invocation.file} --resume ${outcome.publishId}`
                    : "run targets diff to compare, then publish again",
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
            throw new Error(`publishing did not fail: ${outcome.type}`);
    }
};

const completePublish = async (
    invocation: PublishInvocation,
    configuration: AcceptedConfiguration,
): Promise<CommandOutcome> => {
    const json = { outcome: "accepted", ...summarizeVersion(configuration) };
    const lines = [`accepted: ${describeVersion(configuration)}`];
    if (configuration.digest !== digestTargets(invocation.targets)) {
        return fail(ExitCode.UsageOrInvalidFile, {
            code: "PUBLISH_DIFFERS",
            message: `${
                describeVersion(configuration)
            } was accepted, but its targets differ from those now in ${invocation.file}`,
            hint: "run targets diff to compare; run without --resume to publish the file as it is now",
            details: json,
        });
    }
    if (invocation.input.options["wait"] !== true) {
        return ok({ exitCode: ExitCode.Success, json, lines });
    }
    const vms = await waitUntilInForce(invocation.connections, {
        context: invocation.context,
        version: configuration.version,
        timeoutMs: Number(invocation.input.options["waitTimeoutMs"] ?? DEFAULT_WAIT_TIMEOUT_MS),
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
            ? `version ${configuration.version} is accepted, but the live entry VMs could not be listed`
            : `version ${configuration.version} is accepted, but not yet in force at ${
                missing.map(entry => entry.vmId).join(", ")
            }`,
        hint: "the version is final and comes into force once these VMs reach the log or a peer; run status to check",
        details: { ...json, inForceEverywhere: false, vms },
    });
};

const completeDryRun = (
    invocation: PublishInvocation,
    parent: AcceptedConfiguration | undefined,
    version: number,
): CommandOutcome => {
    const changes = diffTargets(parent?.targets, invocation.targets);
    return ok({
        exitCode: ExitCode.Success,
        json: { outcome: "planned", version, parent: summarizeVersion(parent), changes },
        lines: [
            `would publish version ${version} on top of ${describeVersion(parent)}:`,
            ...changes.length === 0 ? ["no change"] : changes.map(describeChange),
        ],
    });
};

const publishNew = async (invocation: PublishInvocation, opts: PublishOptions): Promise<CommandOutcome> => {
    const { context, connections, input, targets } = invocation;
    const plan = await runPublish(connections.log, { context, publish: { ...opts, isDryRun: true } });
    if (plan.type !== "planned") {
        return failPublish(plan, invocation);
    }
    const { record } = plan;
    let { parent } = plan;
    if (record.restartAtOffset !== undefined) {
        const current = await readCurrentConfiguration(connections);
        parent = current.isOk() ? current.value.configuration : undefined;
        context.reportProgress(`the log no longer contains a version; version numbers restart at ${record.version}`);
    }
    if (parent !== undefined && parent.targets.site !== targets.site && input.options["allowSiteChange"] !== true) {
        return fail(ExitCode.UsageOrInvalidFile, {
            code: "SITE_MISMATCH",
            message:
                `${invocation.file} is for site ${targets.site}, but the version in force is for ${parent.targets.site}`,
            hint: "check the file and the settings, or pass --allow-site-change to publish anyway",
        });
    }
    if (input.options["dryRun"] === true) {
        return completeDryRun(invocation, parent, record.version);
    }
    // The checks above are valid for this parent only, so a concurrent publish must cause a conflict.
    const ifVersion = record.restartAtOffset === undefined ? record.parentVersion : undefined;
    const outcome = await runPublish(connections.log, { context, publish: { ...opts, ifVersion } });
    return outcome.type === "accepted"
        ? completePublish(invocation, outcome.configuration)
        : failPublish(outcome, invocation);
};

const resumePublish = async (invocation: PublishInvocation, opts: PublishOptions): Promise<CommandOutcome> => {
    const outcome = await runPublish(invocation.connections.log, { context: invocation.context, publish: opts });
    return outcome.type === "accepted"
        ? completePublish(invocation, outcome.configuration)
        : failPublish(outcome, invocation);
};

const validateOptions = ({ options }: CommandInput): CommandFailure | undefined => {
    const publishIdToResume = options["resume"];
    if (publishIdToResume !== undefined && publishId.parse(String(publishIdToResume)) === undefined) {
        return createUsageFailure(
            "--resume requires a publish id",
            "copy the publish id from the message of the earlier run",
        );
    }
    if (publishIdToResume !== undefined && (options["ifVersion"] !== undefined || options["dryRun"] === true)) {
        return createUsageFailure("--resume cannot be combined with --if-version or --dry-run");
    }
    const isWaiting = options["wait"] === true;
    return options["waitTimeoutMs"] !== undefined && !isWaiting
        ? createUsageFailure("--wait-timeout-ms requires --wait")
        : undefined;
};

/** The `targets publish FILE` command. */
export const targetsPublish: CommandDefinition = {
    name: "targets publish",
    help: "Publishes a targets file as the next version. An accepted version is final.",
    arguments: [{ name: "FILE", help: "targets in YAML" }],
    options: [
        {
            flags: "--if-version <N>",
            help: "publish only if N is the newest version; 0 if there is none yet",
            minimum: 0,
        },
        { flags: "--wait", help: "wait until the version is in force at all live entry VMs" },
        {
            flags: "--wait-timeout-ms <N>",
            help: `maximum wait in milliseconds (default ${DEFAULT_WAIT_TIMEOUT_MS})`,
            minimum: 1,
        },
        { flags: "--dry-run", help: "show what would change, without publishing" },
        { flags: "--resume <PUBLISH_ID>", help: "resume an earlier run with the same file whose outcome is unknown" },
        { flags: "--allow-site-change", help: "allow targets of a different site than the version in force" },
    ],
    handler: async (context, input) => {
        const usageFailure = validateOptions(input);
        if (usageFailure !== undefined) {
            return err(usageFailure);
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
        const invocation = { context, connections: connections.value, input, file, targets: targets.value };
        const { ifVersion, resume } = input.options;
        const opts: PublishOptions = {
            author: connections.value.settings.operator.name,
            targets: targets.value,
            uniqueId: context.createUniqueId(),
            ifVersion: ifVersion === undefined ? undefined : Number(ifVersion),
            resumePublishId: resume === undefined ? undefined : String(resume),
        };
        return resume === undefined ? publishNew(invocation, opts) : resumePublish(invocation, opts);
    },
};
