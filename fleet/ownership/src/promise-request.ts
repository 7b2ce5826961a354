import type { DaemonId } from "@marigoldstall/core.types";

/** An owner's request to its guardian to raise the bounds of the shares that it guards. */
export interface PromiseRequest {
    readonly owner: DaemonId;
    readonly configurationVersion: number;
    readonly wantedBoundMs: number;
    readonly shares: readonly { readonly share: number; readonly term: number; }[];
}
