import type { Targets } from "@marigoldstall/core.types";

/** Options of {@link createPublish}. */
export interface PublishOptions {
    readonly author: string;
    readonly targets: Targets;
    /** Unique text from which the publish id is made, such as a UUID. */
    readonly uniqueId: string;
    /** Publish only on top of this version. */
    readonly ifVersion?: number | undefined;
    /** Publish id of an earlier run whose outcome is unknown. */
    readonly resumePublishId?: string | undefined;
    /** Stop before anything is appended. */
    readonly isDryRun?: boolean | undefined;
}
