import type { AcceptedConfiguration } from "@marigoldstall/core.types";

/** How the fold classified one record. */
export type FoldOutcome =
    | { readonly type: "accepted"; readonly offset: number; readonly configuration: AcceptedConfiguration; }
    | {
        readonly type: "rejected";
        readonly offset: number;
        readonly publishId: string;
        readonly author: string;
        readonly reason: string;
    }
    | {
        /** The record cannot be validated, because earlier records are missing. */
        readonly type: "undecided";
        readonly offset: number;
        readonly publishId: string;
    }
    | { readonly type: "malformed"; readonly offset: number; readonly reason: string; }
    | { readonly type: "snapshot-seen"; readonly offset: number; readonly isConsistent: boolean; }
    | { readonly type: "snapshot-adopted"; readonly offset: number; readonly configuration: AcceptedConfiguration; };
