import { comparePositions } from "./compare-positions.js";
import type { RegistrationChange } from "./registration-change.js";
import type { ViewState } from "./view-state.js";

/**
 * The changes of one era that this view does not contain yet. Once a server is removed, its position is forgotten, so an
 * earlier change that arrives late would register it again.
 */
export const selectNewChanges = (
    state: ViewState,
    opts: { readonly era: number; readonly changes: readonly RegistrationChange[]; },
): readonly RegistrationChange[] => {
    const { era, changes } = opts;
    const { next } = state.registrationReading;
    return next === undefined ? changes : changes.filter(({ offset }) => comparePositions({ era, offset }, next) >= 0);
};
