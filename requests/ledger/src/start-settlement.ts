import type { DaemonId } from "@marigoldstall/core.types";
import * as HashMap from "effect/HashMap";
import { estimateResponseBytes } from "./estimate-response-bytes.js";
import type { LedgerState } from "./ledger-state.js";
import { LEDGER_TIMING } from "./ledger-timing.js";
import type { LedgerTransition } from "./ledger-transition.js";
import type { SettleRequest } from "./settle-request.js";
import { trimResponse } from "./trim-response.js";

/** Maximum total size of responses in unconfirmed settlements. Bodies that exceed it are dropped. */
const PENDING_RESPONSE_BYTES_LIMIT = 16 * 1024 * 1024;

/** Sends a settlement to all daemons that may hold the grant, and keeps it until they confirm it. */
export const startSettlement = (
    state: LedgerState,
    opts: { readonly request: SettleRequest; readonly owners: readonly DaemonId[]; readonly atMs: number; },
): LedgerTransition => {
    const { owners, atMs } = opts;
    if (owners.length === 0) {
        return { state, effects: [] };
    }
    const response = trimResponse(opts.request.response, PENDING_RESPONSE_BYTES_LIMIT - state.settlementBytes);
    const request = { ...opts.request, response };
    const storedBytes = estimateResponseBytes(response);
    const settlements = HashMap.set(state.settlements, request.requestId, {
        request,
        owners,
        storedBytes,
        nextSendAtMs: atMs + LEDGER_TIMING.settleResendMs,
        giveUpAtMs: atMs + LEDGER_TIMING.settleGiveUpMs,
    });
    return {
        state: { ...state, settlements, settlementBytes: state.settlementBytes + storedBytes },
        effects: owners.map(owner => ({ type: "send-settle", owner, request })),
    };
};
