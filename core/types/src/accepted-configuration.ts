import type { Targets } from "./targets.js";

/** A version of the targets that was found valid in the log, and so can never revert. */
export interface AcceptedConfiguration {
    readonly version: number;
    readonly offset: number;
    readonly publishId: string;
    readonly author: string;
    readonly digest: string;
    readonly targets: Targets;
}
