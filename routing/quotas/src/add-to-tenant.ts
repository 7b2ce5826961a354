import { addToWindow } from "./add-to-window.js";
import { spreadOverWindow } from "./spread-over-window.js";
import type { TenantCount } from "./tenant-count.js";

/** Adds requests to the count of a tenant. */
export const addToTenant = (
    tenants: ReadonlyMap<string, TenantCount>,
    tenantName: string,
    opts: {
        readonly atMs: number;
        readonly windowMs: number;
        readonly count: number;
        /** Whether the requests were admitted at any time in the last window. Default: now. */
        readonly isSpread?: boolean;
    },
): ReadonlyMap<string, TenantCount> => {
    const { total, window } = tenants.get(tenantName) ?? { total: 0, window: [] };
    return new Map(tenants).set(tenantName, {
        total: total + opts.count,
        window: opts.isSpread === true && opts.count > 0 ? spreadOverWindow(window, opts) : addToWindow(window, opts),
        changedAtMs: opts.atMs,
    });
};
