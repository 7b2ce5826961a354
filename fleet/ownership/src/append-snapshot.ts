import { daemonKey } from "./daemon-key.js";
import { isLogUsable } from "./is-log-usable.js";
import { memberRank } from "./member-rank.js";
import type { OwnershipRecord } from "./ownership-record.js";
import type { OwnershipState } from "./ownership-state.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import type { StepContext } from "./step-context.js";

/** Delays stop growing at this rank, so that all higher ranks write well before the last snapshot is truncated. */
const HIGHEST_DELAYED_RANK = 8;

/**
 * Appends a snapshot every quarter of the retention time. If none appears in the log, the daemon of the next rank
 * writes one, as the daemon with the lowest VM id may be unable to.
 */
export const appendSnapshot = (state: OwnershipState, context: StepContext): OwnershipTransition => {
    const rank = Math.min(memberRank(state), HIGHEST_DELAYED_RANK);
    const dueAtMs = state.log.snapshotSeenAtMs + state.logRetentionMs * (1 / 4 + rank / 32);
    if (state.isStopping || context.atMs < dueAtMs || state.terms.length === 0 || !isLogUsable(state, context.atMs)) {
        return { state, effects: [] };
    }
    const recordId = `${daemonKey(state.self.daemon)}/${state.recordCount}`;
    const throughOffset = state.log.nextOffset - 1;
    const value: OwnershipRecord = { type: "snapshot", recordId, throughOffset, terms: state.terms };
    const log = { ...state.log, snapshotSeenAtMs: context.atMs };
    return {
        state: { ...state, log, recordCount: state.recordCount + 1 },
        effects: [{ type: "append-ownership-record", recordId, value }],
    };
};
