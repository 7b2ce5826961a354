import type { Targets } from "@marigoldstall/core.types";

/** Options of {@link createPublish}. */
export interface PublishOptions {
    readonly author: string;
    readonly targets: Targets;
    /** Unique part of the publish id, such as a UUID. */
    readonly uniqueId: string;
    /** Publish only if this is the newest version. */
    readonly ifVersion?: number | undefined;
    /** Publish id of an earlier run whose outcome is unknown. */
    readonly resumePublishId?: string | undefined;
    /** Stop before appending the record. */
    readonly isDryRun?: boolean | undefined;
}
