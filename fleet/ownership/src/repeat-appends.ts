import { currentTerm } from "./current-term.js";
import type { OwnershipMoment } from "./ownership-moment.js";
import type { OwnershipState } from "./ownership-state.js";
import { ownershipTiming } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import type { PendingAssign } from "./pending-assign.js";

const isDecided = (state: OwnershipState, { record }: PendingAssign): boolean =>
    record.entries.every(entry => (currentTerm(state, entry.share)?.term ?? 0) >= entry.term);

/**
 * Repeats `assign` records until the log has decided about them. A repetition is harmless, as a term is started
 * once. Records that end a term by its cap, or start a share, bind nobody and are judged anew after a while.
 */
export const repeatAppends = (state: OwnershipState, moment: OwnershipMoment): OwnershipTransition => {
    const { atMs } = moment;
    const undecided = state.pendingAssigns.filter(pending => {
        const isBinding = pending.record.basis === "owner" || pending.record.basis === "guardian";
        return !isDecided(state, pending)
            && (isBinding || atMs - pending.createdAtMs < ownershipTiming.appendGiveUpMs);
    });
    const due = undecided.filter(pending => atMs >= pending.nextSendAtMs && state.log.available);
    if (due.length === 0 && undecided.length === state.pendingAssigns.length) {
        return { state, effects: [] };
    }
    const nextSendAtMs = atMs + ownershipTiming.appendRetryMs;
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
