import type { LedgerEffect } from "./ledger-effect.js";

/** Answer to a caller whose request is not run here. */
export type CallerAnswer = Omit<Extract<LedgerEffect, { type: "answer-caller"; }>, "type" | "requestId">;
