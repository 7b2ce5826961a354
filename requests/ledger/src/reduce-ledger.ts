import type { Transition } from "@marigoldstall/core.types";
import type { LedgerEffect } from "./ledger-effect.js";
import type { LedgerEvent } from "./ledger-event.js";
import type { LedgerState } from "./ledger-state.js";

/** Reducer of the ledger slice. */
export const reduceLedger = (state: LedgerState, event: LedgerEvent): Transition<LedgerState, LedgerEffect> => {
    switch (event.type) {
        default:
            return { state, effects: [] };
    }
};
