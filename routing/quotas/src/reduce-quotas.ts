import type { Transition } from "@marigoldstall/core.types";
import { answerAdmission } from "./answer-admission.js";
import { answerQuery } from "./answer-query.js";
import { changeRole } from "./change-role.js";
import { countAdmission } from "./count-admission.js";
import { expireQueries } from "./expire-queries.js";
import { hearHub } from "./hear-hub.js";
import type { QuotaEffect } from "./quota-effect.js";
import type { QuotaEvent } from "./quota-event.js";
import type { QuotaState } from "./quota-state.js";
import { receiveMemberUsage } from "./receive-member-usage.js";
import { receiveZoneUsage } from "./receive-zone-usage.js";
import { requestAdmission } from "./request-admission.js";
import { updateMetering } from "./update-metering.js";

const receiveUsage = (
    state: QuotaState,
    event: Extract<QuotaEvent, { readonly type: "usage-received"; }>,
): Transition<QuotaState, QuotaEffect> => {
    const { report, zone, atMs } = event;
    if (!state.isHub || zone === state.availabilityZone) {
        return { state, effects: [] };
    }
    return zone === undefined
        ? { state: receiveMemberUsage(state, report, atMs), effects: [{ type: "usage-changed" }] }
        : { state: receiveZoneUsage(state, { report, zone, atMs }), effects: [] };
};

// A request that was admitted more than a window ago does not count any more.
const releaseAdmission = (
    state: QuotaState,
    event: Extract<QuotaEvent, { readonly type: "admission-released"; }>,
): Transition<QuotaState, QuotaEffect> => {
    const { atMs, tenantName, admittedAtMs } = event;
    return state.bounds === undefined || atMs - admittedAtMs >= state.bounds.windowMs
        ? { state, effects: [] }
        : { state: countAdmission(state, { tenantName, atMs, count: -1 }), effects: [{ type: "usage-changed" }] };
};

/** Reducer of the quotas of tenants. */
export const reduceQuotas = (state: QuotaState, event: QuotaEvent): Transition<QuotaState, QuotaEffect> => {
    const { atMs } = event;
    switch (event.type) {
        case "quotas-configured":
            return { state: { ...state, quotas: event.quotas }, effects: [] };
        case "hub-role-changed":
            return { state: changeRole(state, event), effects: [] };
        case "metering-tick":
            return updateMetering(state, event);
        case "query-tick":
            return expireQueries(state, event);
        case "admission-requested":
            return requestAdmission(state, { ...event, queries: 0 });
        case "admission-released":
            return releaseAdmission(state, event);
        case "quota-queried":
            return answerQuery(state, event);
        case "quota-answered":
            return answerAdmission(state, event);
        case "hub-heard":
            return hearHub(state, event);
        case "usage-received":
            return receiveUsage(state, event);
        case "usage-reported":
            return {
                state: {
                    ...state,
                    reportSequence: state.reportSequence + 1,
                    reportedAtMs: atMs,
                    needsFullReport: false,
                },
                effects: [],
            };
    }
};
