import type { DaemonId } from "@marigoldstall/core.types";

/** A caller's request with an idempotency key, at the daemon that received it, until it is answered or finished. */
export interface KeyedRequest {
    readonly phase: "claiming" | "granted";
    readonly requestId: string;
    readonly service: string;
    readonly key: string;
    readonly keyTimeMs: number;
    readonly share: number;
    readonly fingerprint: string;
    readonly deadlineAtMs: number;
    /** The daemon that the last claim was sent to. In the phase `granted`, the daemon that granted the claim. */
    readonly owner: DaemonId | undefined;
    /** All daemons that a claim was sent to. Each may still receive a delayed copy. */
    readonly contactedOwners: readonly DaemonId[];
    readonly claimsSent: number;
    readonly nextSendAtMs: number;
    /** When the request arrived, or when an owner last replied `in-progress`. */
    readonly undecidedSinceMs: number;
    /** When an owner first replied that an earlier request with the same key is in progress. */
    readonly inProgressSinceMs: number | undefined;
    /** Whether the last claim was refused with `wrongOwner`, as opposed to a daemon that does not reply. */
    readonly isOwnerUnknown: boolean;
}
