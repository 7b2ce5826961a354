import type { Targets } from "@marigoldstall/core.types";

/** Record of the `configuration` stream that publishes a version. */
export interface PublishRecord {
    readonly publishId: string;
    readonly version: number;
    readonly parentVersion: number;
    readonly author: string;
    readonly targets: Targets;
    /**
     * Set when the log no longer holds any version or snapshot. The record is valid only at exactly this offset, with
     * `version` one higher. Each version takes one record, so it is above every version published before.
     */
    readonly restartAtOffset?: number;
}
