import { addToTenant } from "./add-to-tenant.js";
import { countInZone } from "./count-in-zone.js";
import type { QuotaState } from "./quota-state.js";

/** Counts requests that this VM has admitted, or releases some if the count is negative. */
export const countAdmission = (
    state: QuotaState,
    opts: { readonly tenantName: string; readonly atMs: number; readonly count: number; },
): QuotaState => {
    const { bounds } = state;
    const { tenantName, atMs, count } = opts;
    if (bounds === undefined) {
        return state;
    }
    const own = addToTenant(state.own, tenantName, { atMs, count, windowMs: bounds.windowMs });
    return state.isHub ? countInZone({ ...state, own }, opts) : { ...state, own };
};
