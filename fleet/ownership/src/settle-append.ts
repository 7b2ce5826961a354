import type { OwnershipEvent } from "./ownership-event.js";
import type { OwnershipState } from "./ownership-state.js";
import { ownershipTiming } from "./ownership-timing.js";

/** Waits with the repetition of a record that was appended, until it has been read. */
export const settleAppend = (
    state: OwnershipState,
    event: Extract<OwnershipEvent, { type: "append-settled"; }>,
): OwnershipState => {
    if (event.result !== "appended" || !state.pendingAssigns.some(entry => isSame(entry, event.recordId))) {
        return state;
    }
    const nextSendAtMs = event.atMs + 3 * ownershipTiming.appendRetryMs;
    return {
        ...state,
        pendingAssigns: state.pendingAssigns.map(entry =>
            isSame(entry, event.recordId) ? { ...entry, nextSendAtMs } : entry
        ),
    };
};

const isSame = (pending: OwnershipState["pendingAssigns"][number], recordId: string): boolean =>
    pending.record.recordId === recordId;
