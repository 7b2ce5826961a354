import type { Transition } from "@marigoldstall/core.types";
import { countAdmission } from "./count-admission.js";
import { grantRequest } from "./grant-request.js";
import { isMetered } from "./is-metered.js";
import type { QuotaEffect } from "./quota-effect.js";
import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";

interface RequestAdmissionOptions {
    readonly atMs: number;
    readonly requestKey: string;
    readonly tenantName: string;
    readonly hubHost: string | undefined;
    /** How often a hub was asked for this request. */
    readonly queries: number;
}

const admit = (state: QuotaState, opts: RequestAdmissionOptions): Transition<QuotaState, QuotaEffect> => {
    const { atMs, requestKey, tenantName } = opts;
    return {
        state: countAdmission(state, { atMs, tenantName, count: 1 }),
        effects: [
            { type: "admission-decided", requestKey, tenantName, verdict: "admitted", retryAfterMs: 0 },
            { type: "usage-changed" },
        ],
    };
};

const decideAsHub = (state: QuotaState, opts: RequestAdmissionOptions): Transition<QuotaState, QuotaEffect> => {
    const { requestKey, tenantName, atMs } = opts;
    const grant = isMetered(state, tenantName, atMs)
        ? grantRequest(state, opts)
        : { state, verdict: "admitted" as const, retryAfterMs: 0 };
    const { verdict, retryAfterMs } = grant;
    return verdict === "admitted"
        ? admit(grant.state, opts)
        : {
            state: grant.state,
            effects: [{ type: "admission-decided", requestKey, tenantName, verdict, retryAfterMs }],
        };
};

const isOpen = ({ metered, meteringHeardAtMs }: QuotaState, tenantName: string, atMs: number): boolean =>
    metered !== "all" && !metered.has(tenantName)
    && atMs - meteringHeardAtMs <= QUOTA_LIMITS.meteringValidForMs;

/** Admits a request of a tenant with a quota, rejects it, or asks the hub. */
export const requestAdmission = (
    state: QuotaState,
    opts: RequestAdmissionOptions,
): Transition<QuotaState, QuotaEffect> => {
    const { atMs, requestKey, tenantName, hubHost, queries } = opts;
    if (state.bounds === undefined || !state.quotas.has(tenantName)) {
        const effect = { requestKey, tenantName, verdict: "admitted" as const, retryAfterMs: 0 };
        return { state, effects: [{ type: "admission-decided", ...effect }] };
    }
    if (state.isHub) {
        return decideAsHub(state, opts);
    }
    if (isOpen(state, tenantName, atMs)) {
        return admit(state, opts);
    }
    const pending = new Map(state.pending).set(requestKey, {
        requestKey,
        tenantName,
        askedAtMs: atMs,
        queries: queries + 1,
    });
    return {
        state: { ...state, pending },
        effects: hubHost === undefined ? [] : [{ type: "query-quota", host: hubHost, requestKey, tenantName }],
    };
};
