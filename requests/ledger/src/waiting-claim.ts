import type { ClaimRequest } from "./claim-request.js";

/** A claim of a key slightly ahead of the bound. It is decided when the bound has been raised. */
export interface WaitingClaim {
    readonly request: ClaimRequest;
    readonly untilMs: number;
}
