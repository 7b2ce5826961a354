import { createPublish, reducePublish } from "@marigoldstall/config.versions";
import type { PublishEffect, PublishEvent, PublishOptions, PublishOutcome } from "@marigoldstall/config.versions";
import type { LogClient } from "@marigoldstall/platform.log-client";
import type { ToolContext } from "../tool-context.js";

const STREAM = "configuration";
const PAGE_RECORDS = 200;

const runEffect = async (
    log: LogClient,
    effect: Exclude<PublishEffect, { readonly type: "finish"; }>,
): Promise<PublishEvent> => {
    if (effect.type === "append-record") {
        return { type: "append-finished", result: await log.append(STREAM, { value: effect.value }) };
    }
    const read = await log.read(STREAM, { from: effect.from, limit: PAGE_RECORDS });
    return read.isOk()
        ? { type: "log-read", read: { ...read.value, from: effect.from } }
        : { type: "log-failed", error: read.error };
};

/** Drives publishing against the log until its outcome is known or given up. */
export const runPublish = async (
    log: LogClient,
    opts: { readonly context: ToolContext; readonly publish: PublishOptions; },
): Promise<PublishOutcome> => {
    let { state, effects } = createPublish(opts.publish);
    let announcedId: string | undefined;
    for (;;) {
        const effect = effects[0];
        if (effect === undefined) {
            throw new Error("publishing stopped without an outcome");
        }
        if (effect.type === "finish") {
            return effect.outcome;
        }
        if (effect.type === "append-record" && state.record !== undefined && announcedId === undefined) {
            // Printed before the append, so that a run that is killed can be resumed.
            announcedId = state.record.publishId;
            opts.context.reportProgress(`publish id ${announcedId}`);
        }
        if (effect.delayMs > 0) {
            await opts.context.delay(effect.delayMs);
        }
        ({ state, effects } = reducePublish(state, await runEffect(log, effect)));
    }
};
