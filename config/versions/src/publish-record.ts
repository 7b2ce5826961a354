import type { Targets } from "@marigoldstall/core.types";

/** Log record that publishes a version of the configuration. */
export interface PublishRecord {
    readonly publishId: string;
    readonly version: number;
    readonly parentVersion: number;
    readonly author: string;
    readonly targets: Targets;
    /**
     * Set when the log retains neither a version nor a snapshot. The record is valid only at exactly this offset, with
     * `version` one higher. Since each version takes one record, this is above every earlier version.
     */
    readonly restartAtOffset?: number;
}
