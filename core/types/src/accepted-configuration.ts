import type { Targets } from "./targets.js";

/** A valid version of the targets that is recorded in the log and therefore cannot be reverted. */
export interface AcceptedConfiguration {
    readonly version: number;
    readonly offset: number;
    readonly publishId: string;
    readonly author: string;
    readonly digest: string;
    readonly targets: Targets;
}
