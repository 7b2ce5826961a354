import type { DaemonId } from "@marigoldstall/core.types";
import * as HashMap from "effect/HashMap";
import { fitResponse } from "./fit-response.js";
import type { LedgerState } from "./ledger-state.js";
import { ledgerTiming } from "./ledger-timing.js";
import type { LedgerTransition } from "./ledger-transition.js";
import { responseBytes } from "./response-bytes.js";
import type { SettleRequest } from "./settle-request.js";

/** Largest total size of responses in settlements that no owner has received. Bodies above it are dropped. */
const PENDING_BYTES_LIMIT = 16 * 1024 * 1024;

/** Sends a settlement to all daemons that may hold the grant, and keeps it for repetition. */
export const startSettlement = (
    state: LedgerState,
    opts: { readonly request: SettleRequest; readonly owners: readonly DaemonId[]; readonly atMs: number; },
): LedgerTransition => {
    const { owners, atMs } = opts;
    if (owners.length === 0) {
        return { state, effects: [] };
    }
    const response = fitResponse(opts.request.response, PENDING_BYTES_LIMIT - state.settlementBytes);
    const request = { ...opts.request, response };
    const storedBytes = responseBytes(response);
    const settlements = HashMap.set(state.settlements, request.requestId, {
        request,
        owners,
        storedBytes,
        nextSendAtMs: atMs + ledgerTiming.settleResendMs,
        giveUpAtMs: atMs + ledgerTiming.settleGiveUpMs,
    });
    return {
        state: { ...state, settlements, settlementBytes: state.settlementBytes + storedBytes },
        effects: owners.map(owner => ({ type: "send-settle", owner, request })),
    };
};
