import { createPublish, reducePublish } from "@marigoldstall/config.versions";
import type { PublishEffect, PublishEvent, PublishOptions, PublishOutcome } from "@marigoldstall/config.versions";
import type { LogClient } from "@marigoldstall/platform.log-client";
import type { CommandContext } from "../command-context.js";

const STREAM = "configuration";
const RECORDS_PER_READ = 200;

const runEffect = async (
    log: LogClient,
    effect: Exclude<PublishEffect, { readonly type: "finish"; }>,
): Promise<PublishEvent> => {
    if (effect.type === "append-record") {
        return { type: "append-finished", result: await log.append(STREAM, { value: effect.value }) };
    }
    const read = await log.read(STREAM, { from: effect.from, limit: RECORDS_PER_READ });
    return read.isOk()
        ? { type: "log-read", read: { ...read.value, from: effect.from } }
        : { type: "log-failed", error: read.error };
};

/** Publishes to the log, retrying until the outcome is known or the retries are exhausted. */
export const runPublish = async (
    log: LogClient,
    opts: { readonly context: CommandContext; readonly publish: PublishOptions; },
): Promise<PublishOutcome> => {
    let { state, effects } = createPublish(opts.publish);
    let reportedId: string | undefined;
    for (;;) {
        const effect = effects[0];
        if (effect === undefined) {
            throw new Error("publishing ended without an outcome");
        }
        if (effect.type === "finish") {
            return effect.outcome;
        }
        if (effect.type === "append-record" && state.record !== undefined && reportedId === undefined) {
            // Printed before the append, so that an interrupted run can be resumed.
            reportedId = state.record.publishId;
            opts.context.reportProgress(`publish id ${reportedId}`);
        }
        if (effect.delayMs > 0) {
            await opts.context.delay(effect.delayMs);
        }
        ({ state, effects } = reducePublish(state, await runEffect(log, effect)));
    }
};
