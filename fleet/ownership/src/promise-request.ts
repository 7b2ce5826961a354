import type { DaemonId } from "@marigoldstall/core.types";

/** An owner's request to a guardian to raise the bounds of the shares that the guardian guards for it. */
export interface PromiseRequest {
    readonly owner: DaemonId;
    readonly configurationVersion: number;
    readonly wantedBoundMs: number;
    readonly shares: readonly { readonly share: number; readonly term: number; }[];
}
