import type { ClaimRequest } from "./claim-request.js";

/** A claim whose key time is slightly above the bound. It is decided when the bound has been raised. */
export interface WaitingClaim {
    readonly request: ClaimRequest;
    readonly expiresAtMs: number;
}
