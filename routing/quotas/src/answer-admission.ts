import type { Transition } from "@marigoldstall/core.types";
import type { AdmissionVerdict } from "./admission-verdict.js";
import { countAdmission } from "./count-admission.js";
import type { QuotaEffect } from "./quota-effect.js";
import type { QuotaState } from "./quota-state.js";

/** Applies the verdict of the hub to a request that waits for it. A verdict that comes too late changes nothing. */
export const answerAdmission = (state: QuotaState, opts: {
    readonly atMs: number;
    readonly requestKey: string;
    readonly verdict: AdmissionVerdict;
    readonly retryAfterMs: number;
}): Transition<QuotaState, QuotaEffect> => {
    const { atMs, requestKey, verdict, retryAfterMs } = opts;
    const waiting = state.pending.get(requestKey);
    if (waiting === undefined) {
        return { state, effects: [] };
    }
    const pending = new Map(state.pending);
    pending.delete(requestKey);
    const { tenantName } = waiting;
    const decided: QuotaEffect = { type: "admission-decided", requestKey, tenantName, verdict, retryAfterMs };
    const next = { ...state, pending };
    return verdict === "admitted"
        ? {
            state: countAdmission(next, { atMs, tenantName, count: 1 }),
            effects: [decided, { type: "usage-changed" }],
        }
        : { state: next, effects: [decided] };
};
