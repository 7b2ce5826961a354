import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { RequestState } from "./request-state.js";

/** Time within which a server has to respond for the response to be back before the deadline. */
export const selectRemainingMs = (request: RequestState, atMs: number): number =>
    request.deadlineAtMs - DISPATCH_LIMITS.deadlineMarginMs - atMs;
