import { MarigoldstallError } from "@marigoldstall/core.error";
import type { Transition } from "@marigoldstall/core.types";
import { EMPTY_FOLD } from "./empty-fold.js";
import type { PublishEffect } from "./publish-effect.js";
import { publishId } from "./publish-id.js";
import type { PublishOptions } from "./publish-options.js";
import type { PublishRecord } from "./publish-record.js";
import type { PublishState } from "./publish-state.js";

const rebuildRecord = (opts: PublishOptions, id: string): PublishRecord | undefined => {
    const parts = publishId.parse(id);
    if (parts === undefined) {
        return undefined;
    }
    const record = { publishId: id, version: parts.version, author: opts.author, targets: opts.targets };
    return parts.isRestart
        ? { ...record, parentVersion: 0, restartAtOffset: parts.version - 1 }
        : { ...record, parentVersion: parts.version - 1 };
};

/** Starts publishing. The first effect reads the log, up to its end before anything is appended. */
export const createPublish = (opts: PublishOptions): Transition<PublishState, PublishEffect> => {
    const { resumePublishId } = opts;
    const record = resumePublishId === undefined ? undefined : rebuildRecord(opts, resumePublishId);
    const error = new MarigoldstallError({
        code: "PUBLISH_ID_INVALID",
        message: "the publish id does not have the format that this tool prints",
        step: "resume publishing",
        hint: "copy the publish id from the message of the earlier run",
    });
    const isInvalid = resumePublishId !== undefined && record === undefined;
    return {
        state: {
            opts,
            era: undefined,
            fold: EMPTY_FOLD,
            record,
            published: undefined,
            winner: undefined,
            isRestartOffsetTaken: false,
            appendedAtOffset: undefined,
            mayBeWritten: resumePublishId !== undefined,
            appendCount: 0,
            failureCount: 0,
            lastError: undefined,
        },
        effects: isInvalid
            ? [{ type: "finish", outcome: { type: "failed", error } }]
            : [{ type: "read-log", from: 0, delayMs: 0 }],
    };
};
