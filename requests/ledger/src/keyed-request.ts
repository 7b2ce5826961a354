import type { DaemonId } from "@marigoldstall/core.types";

/** A caller's request with a key, at the daemon that received it, until it is answered or finished. */
export interface KeyedRequest {
    readonly phase: "claiming" | "granted";
    readonly requestId: string;
    readonly service: string;
    readonly key: string;
    readonly keyTimeMs: number;
    readonly share: number;
    readonly fingerprint: string;
    readonly deadlineAtMs: number;
    /** The daemon that was asked last, and that gave the grant in the phase `granted`. */
    readonly owner: DaemonId | undefined;
    /** All daemons that a claim was sent to. Any of them may still receive a copy. */
    readonly contacted: readonly DaemonId[];
    readonly claimsSent: number;
    readonly nextSendAtMs: number;
    /** Start of the time in which no daemon has answered with a decision. */
    readonly undecidedSinceMs: number;
    /** Since when the owner has said that an earlier request with the same key is in progress. */
    readonly inProgressSinceMs: number | undefined;
    /** An owner that answered with `wrongOwner` or a lookup without result, and not a daemon that is silent. */
    readonly isOwnerMissing: boolean;
}
