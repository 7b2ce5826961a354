import type { Transition } from "@marigoldstall/core.types";
import type { LedgerEffect } from "./ledger-effect.js";
import type { LedgerState } from "./ledger-state.js";

/** New state of the ledger slice and the effects of one event. */
export type LedgerTransition = Transition<LedgerState, LedgerEffect>;
