import type { WindowCount } from "./window-count.js";

/** Admitted requests of a tenant. */
export interface TenantCount {
    /** Since counting began, less those that were released. */
    readonly total: number;
    readonly window: WindowCount;
    readonly changedAtMs: number;
}
