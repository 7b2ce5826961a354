import type { AcceptedConfiguration } from "@marigoldstall/core.types";

/** State of the fold after all records up to and including `throughOffset`. */
export interface Snapshot {
    readonly throughOffset: number;
    readonly state: AcceptedConfiguration;
}
