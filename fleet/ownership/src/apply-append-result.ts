import type { OwnershipEvent } from "./ownership-event.js";
import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";

/** Delays the resend of a record that was appended, to leave time to read it back. */
export const applyAppendResult = (
    state: OwnershipState,
    event: Extract<OwnershipEvent, { type: "append-settled"; }>,
): OwnershipState => {
    if (event.result !== "appended" || !state.pendingAssigns.some(entry => hasRecordId(entry, event.recordId))) {
        return state;
    }
    const nextSendAtMs = event.atMs + 3 * OWNERSHIP_TIMING.appendRetryMs;
    return {
        ...state,
        pendingAssigns: state.pendingAssigns.map(entry =>
            hasRecordId(entry, event.recordId) ? { ...entry, nextSendAtMs } : entry
        ),
    };
};

const hasRecordId = (pending: OwnershipState["pendingAssigns"][number], recordId: string): boolean =>
    pending.record.recordId === recordId;
