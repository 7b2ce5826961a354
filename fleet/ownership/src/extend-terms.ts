import { capFor } from "./cap-for.js";
import { currentTerm } from "./current-term.js";
import { daemonKey } from "./daemon-key.js";
import type { OwnershipMoment } from "./ownership-moment.js";
import type { OwnershipRecord } from "./ownership-record.js";
import type { OwnershipState } from "./ownership-state.js";
import { ownershipTiming } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";

/** Raises the bounds and caps of all own shares through the log. Nothing is usable before it is read back. */
export const extendTerms = (state: OwnershipState, moment: OwnershipMoment): OwnershipTransition => {
    if (moment.atMs < state.nextExtendAtMs || state.owned.size === 0 || state.isStopping) {
        return { state, effects: [] };
    }
    const boundMs = Math.floor(moment.wallMs + ownershipTiming.lookaheadMs);
    const entries = [...state.owned].flatMap(([share, { term }]) => {
        const current = currentTerm(state, share);
        if (current === undefined || current.boundMs >= boundMs) {
            return [];
        }
        const hasGuardian = current.guardian !== undefined;
        return [{ share, term, boundMs, capMs: capFor(state, { boundMs, hasGuardian, wallMs: moment.wallMs }) }];
    });
    if (entries.length === 0) {
        return { state, effects: [] };
    }
    const recordId = `${daemonKey(state.self.daemon)}/${state.recordCount}`;
    const value: OwnershipRecord = { type: "extend", recordId, writer: state.self.daemon, entries };
    // Daemons that started together spread their appends over the interval.
    const intervalMs = ownershipTiming.extendIntervalMs * (0.9 + 0.2 * moment.random);
    return {
        state: { ...state, recordCount: state.recordCount + 1, nextExtendAtMs: moment.atMs + intervalMs },
        effects: [{ type: "append-ownership-record", recordId, value }],
    };
};
