import { rollingCounts } from "@marigoldstall/routing.state";
import type { HedgingState } from "./hedging-state.js";

/** Creates the hedging state of a service without any request. A restarted VM starts without credit. */
export const createHedgingState = (): HedgingState => ({
    credit: 0,
    hedges: rollingCounts.empty,
    profiles: new Map(),
    recentAnswers: [],
});
