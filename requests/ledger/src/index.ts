export type { ClaimReply } from "./claim-reply.js";
export type { ClaimRequest } from "./claim-request.js";
export type { LedgerEffect } from "./ledger-effect.js";
export type { LedgerEvent } from "./ledger-event.js";
export type { SettleRequest } from "./settle-request.js";
export type { StoredResponse } from "./stored-response.js";
