import type { LedgerEffect } from "./ledger-effect.js";

/** Response to a caller whose request this daemon does not route. */
export type CallerAnswer = Omit<Extract<LedgerEffect, { type: "answer-caller"; }>, "type" | "requestId">;
