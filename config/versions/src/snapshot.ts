import type { AcceptedConfiguration } from "@marigoldstall/core.types";

/** Accepted version after all records up to and including `throughOffset`. */
export interface Snapshot {
    readonly throughOffset: number;
    readonly state: AcceptedConfiguration;
}
