import { currentTerm } from "./current-term.js";
import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import type { PendingAssign } from "./pending-assign.js";
import type { StepContext } from "./step-context.js";

const isDecided = (state: OwnershipState, { record }: PendingAssign): boolean =>
    record.entries.every(entry => (currentTerm(state, entry.share)?.term ?? 0) >= entry.term);

/**
 * Resends `assign` records until the log has decided their entries. Duplicates are harmless, as a term starts only
 * once. A record written as owner or guardian already restricts what this daemon may use or promise, so it is never
 * dropped while undecided. Records with basis `expired` or `bootstrap` restrict nobody, and are dropped and reevaluated
 * after `appendGiveUpMs`.
 */
export const resendPendingAssigns = (state: OwnershipState, context: StepContext): OwnershipTransition => {
    const { atMs } = context;
    const undecided = state.pendingAssigns.filter(pending => {
        const restrictsWriter = pending.record.basis === "owner" || pending.record.basis === "guardian";
        return !isDecided(state, pending)
            && (restrictsWriter || atMs - pending.createdAtMs < OWNERSHIP_TIMING.appendGiveUpMs);
    });
    const due = undecided.filter(pending => atMs >= pending.nextSendAtMs && state.log.available);
    if (due.length === 0 && undecided.length === state.pendingAssigns.length) {
        return { state, effects: [] };
    }
    const nextSendAtMs = atMs + OWNERSHIP_TIMING.appendRetryMs;
    return {
        state: {
            ...state,
            pendingAssigns: undecided.map(pending => due.includes(pending) ? { ...pending, nextSendAtMs } : pending),
        },
        effects: due.map(({ record }) => ({
            type: "append-ownership-record",
            recordId: record.recordId,
            value: record,
        })),
    };
};
