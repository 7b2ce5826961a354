import { HEDGE_LIMITS } from "./hedge-limits.js";
import type { HedgingState } from "./hedging-state.js";

/** Adds what one more request earns. Credit does not expire, so a VM with few requests saves up for a hedge. */
export const earnHedgeCredit = (hedging: HedgingState, share: number): HedgingState =>
    share === 0 ? hedging : { ...hedging, credit: Math.min(HEDGE_LIMITS.maxCredit, hedging.credit + share) };
