import * as HashMap from "effect/HashMap";
import * as Option from "effect/Option";
import { endUngrantedRequest } from "./end-ungranted-request.js";
import type { LedgerEvent } from "./ledger-event.js";
import type { LedgerState } from "./ledger-state.js";
import type { LedgerTransition } from "./ledger-transition.js";
import { startSettlement } from "./start-settlement.js";

/** Settles the claim of a routed request, or ends a request that is not granted yet and whose caller disconnected. */
export const finishRequest = (
    state: LedgerState,
    event: Extract<LedgerEvent, { type: "request-finished"; }>,
): LedgerTransition => {
    const { requestId, outcome, response, atMs } = event;
    const request = Option.getOrUndefined(HashMap.get(state.requests, requestId));
    if (request === undefined) {
        return { state, effects: [] };
    }
    if (request.phase === "claiming") {
        return endUngrantedRequest(state, { request, answer: undefined, isDecided: false, atMs });
    }
    const { service, key, owner } = request;
    return startSettlement({ ...state, requests: HashMap.remove(state.requests, requestId) }, {
        request: { service, key, requestId, runner: state.self, outcome, response },
        owners: owner === undefined ? [] : [owner],
        atMs,
    });
};
