import type { Evidence } from "@marigoldstall/core.types";
import type { MembershipState } from "./membership-state.js";
import { MEMBERSHIP_TIMING } from "./membership-timing.js";

const MAX_STORED_EVIDENCE = 256;

const isSameEvidence = (left: Evidence, right: Evidence): boolean =>
    left.service === right.service && left.address === right.address && left.instanceId === right.instanceId
    && left.kind === right.kind;

/** Stores evidence that is not stored yet, and returns the part that was new. */
export const addEvidence = (
    state: MembershipState,
    opts: { readonly atMs: number; readonly evidence: readonly Evidence[]; },
): { readonly state: MembershipState; readonly newEvidence: readonly Evidence[]; } => {
    const newEvidence: Evidence[] = [];
    for (const evidence of opts.evidence) {
        if (
            !state.evidence.some(entry => isSameEvidence(entry.evidence, evidence))
            && !newEvidence.some(entry => isSameEvidence(entry, evidence))
        ) {
            newEvidence.push(evidence);
        }
    }
    if (newEvidence.length === 0) {
        return { state, newEvidence };
    }
    const kept = state.evidence.filter(entry =>
        opts.atMs - entry.receivedAtMs <= MEMBERSHIP_TIMING.evidenceRetentionMs
    );
    const added = newEvidence.map(evidence => ({ evidence, receivedAtMs: opts.atMs }));
    return { state: { ...state, evidence: [...kept, ...added].slice(-MAX_STORED_EVIDENCE) }, newEvidence };
};
