import type { Transition } from "@marigoldstall/core.types";
import { countInZone } from "./count-in-zone.js";
import { grantRequest } from "./grant-request.js";
import type { QuotaEffect } from "./quota-effect.js";
import type { QuotaEvent } from "./quota-event.js";
import { QUOTA_LIMITS } from "./quota-limits.js";
import type { QuotaState } from "./quota-state.js";

type QuotaQueried = Extract<QuotaEvent, { readonly type: "quota-queried"; }>;

// The member counts the request too once it has the answer, so the grant is taken off its next report.
const countGrant = (state: QuotaState, event: QuotaQueried): QuotaState => {
    const { atMs, reporterId, tenantName } = event;
    const member = state.members.get(reporterId) ?? { sequence: 0, heardAtMs: atMs, tenants: new Map() };
    const known = member.tenants.get(tenantName) ?? { total: undefined, granted: 0, grantedAtMs: atMs };
    const tenants = new Map(member.tenants).set(tenantName, {
        ...known,
        granted: known.granted + 1,
        grantedAtMs: atMs,
    });
    const members = new Map(state.members).set(reporterId, { ...member, tenants });
    return countInZone({ ...state, members }, { atMs, tenantName, count: 1 });
};

/** Answers a member's query as the hub of its zone. */
export const answerQuery = (state: QuotaState, event: QuotaQueried): Transition<QuotaState, QuotaEffect> => {
    const { atMs, tenantName, requestKey, replyHost: host } = event;
    if (!state.isHub) {
        const retryAfterMs = QUOTA_LIMITS.unknownRetryAfterMs;
        return { state, effects: [{ type: "answer-quota", host, requestKey, verdict: "unknown", retryAfterMs }] };
    }
    const { state: granted, verdict, retryAfterMs } = grantRequest(state, { tenantName, atMs });
    const answer: QuotaEffect = { type: "answer-quota", host, requestKey, verdict, retryAfterMs };
    return verdict === "admitted"
        ? { state: countGrant(granted, event), effects: [answer, { type: "usage-changed" }] }
        : { state: granted, effects: [answer] };
};
