import { computeCapMs } from "./compute-cap-ms.js";
import { currentTerm } from "./current-term.js";
import { daemonKey } from "./daemon-key.js";
import type { OwnershipRecord } from "./ownership-record.js";
import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import type { StepContext } from "./step-context.js";
import { termNumbers } from "./term-numbers.js";

/** Extends the bounds and caps of all own shares through the log. They take effect only when read back. */
export const extendTerms = (state: OwnershipState, context: StepContext): OwnershipTransition => {
    if (context.atMs < state.nextExtendAtMs || state.owned.size === 0 || state.isStopping) {
        return { state, effects: [] };
    }
    const boundMs = Math.floor(context.wallMs + OWNERSHIP_TIMING.lookaheadMs);
    const entries = [...state.owned].flatMap(([share, { term }]) => {
        const current = currentTerm(state, share);
        const isOfFormerEra = termNumbers.eraOf(term) !== state.log.era;
        if (current === undefined || current.boundMs >= boundMs || isOfFormerEra) {
            return [];
        }
        const hasGuardian = current.guardian !== undefined;
        return [{ share, term, boundMs, capMs: computeCapMs(state, { boundMs, hasGuardian, wallMs: context.wallMs }) }];
    });
    if (entries.length === 0) {
        return { state, effects: [] };
    }
    const recordId = `${daemonKey(state.self.daemon)}/${state.recordCount}`;
    const value: OwnershipRecord = { type: "extend", recordId, writer: state.self.daemon, entries };
    // Jitter spreads the appends of daemons that started at the same time.
    const intervalMs = OWNERSHIP_TIMING.extendIntervalMs * (0.9 + 0.2 * context.random);
    return {
        state: { ...state, recordCount: state.recordCount + 1, nextExtendAtMs: context.atMs + intervalMs },
        effects: [{ type: "append-ownership-record", recordId, value }],
    };
};
