import { daemonKey } from "./daemon-key.js";
import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import type { PendingAssign } from "./pending-assign.js";
import type { StepContext } from "./step-context.js";

type AssignRecord = PendingAssign["record"];

/** Appends an `assign` record, and keeps it for retries until the log decides its entries. */
export const appendAssign = (
    state: OwnershipState,
    opts: {
        readonly basis: AssignRecord["basis"];
        readonly entries: AssignRecord["entries"];
        readonly restartAtOffset?: number | undefined;
        readonly reason: string;
        readonly context: StepContext;
    },
): OwnershipTransition => {
    if (opts.entries.length === 0) {
        return { state, effects: [] };
    }
    const { atMs } = opts.context;
    const recordId = `${daemonKey(state.self.daemon)}/${state.recordCount}`;
    const record: AssignRecord = {
        type: "assign",
        recordId,
        writer: state.self.daemon,
        basis: opts.basis,
        ...opts.restartAtOffset === undefined ? {} : { restartAtOffset: opts.restartAtOffset },
        entries: opts.entries,
    };
    const pending = { record, createdAtMs: atMs, nextSendAtMs: atMs + OWNERSHIP_TIMING.appendRetryMs };
    const candidates = state.members.map(member => member.daemon.vmId);
    return {
        state: {
            ...state,
            recordCount: state.recordCount + 1,
            pendingAssigns: [...state.pendingAssigns, pending],
        },
        effects: [
            { type: "append-ownership-record", recordId, value: record },
            ...opts.entries.map(entry => ({
                type: "log-decision" as const,
                decision: {
                    kind: "share-assignment",
                    requestId: undefined,
                    service: undefined,
                    className: undefined,
                    candidates,
                    choice: entry.owner.vmId,
                    reason: `share ${entry.share} term ${entry.term}: ${opts.reason}`,
                },
            })),
        ],
    };
};
