import type { Transition } from "@marigoldstall/core.types";
import type { LedgerEffect } from "./ledger-effect.js";
import type { LedgerState } from "./ledger-state.js";

/** Result of one step of the ledger slice. */
export type LedgerTransition = Transition<LedgerState, LedgerEffect>;
