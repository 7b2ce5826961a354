import type { Evidence } from "@marigoldstall/core.types";
import type { MembershipState } from "./membership-state.js";
import { MEMBERSHIP_TIMING } from "./membership-timing.js";

const MAX_EVIDENCE = 256;

const isSame = (left: Evidence, right: Evidence): boolean =>
    left.service === right.service && left.address === right.address && left.instanceId === right.instanceId
    && left.kind === right.kind;

/** Remembers the evidence that was not known yet, and returns it. */
export const addEvidence = (
    state: MembershipState,
    opts: { readonly atMs: number; readonly evidence: readonly Evidence[]; },
): { readonly state: MembershipState; readonly fresh: readonly Evidence[]; } => {
    const fresh: Evidence[] = [];
    for (const evidence of opts.evidence) {
        if (
            !state.evidence.some(entry => isSame(entry.evidence, evidence))
            && !fresh.some(entry => isSame(entry, evidence))
        ) {
            fresh.push(evidence);
        }
    }
    if (fresh.length === 0) {
        return { state, fresh };
    }
    const kept = state.evidence.filter(entry => opts.atMs - entry.heardAtMs <= MEMBERSHIP_TIMING.evidenceMs);
    const added = fresh.map(evidence => ({ evidence, heardAtMs: opts.atMs }));
    return { state: { ...state, evidence: [...kept, ...added].slice(-MAX_EVIDENCE) }, fresh };
};
