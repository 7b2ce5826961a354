import type { ClassLoad } from "./class-load.js";
import type { ServiceLayout } from "./service-layout.js";
import type { SiteName } from "./site-name.js";

/** VMs of a site and the typical load of its callers. */
export interface SiteLayout {
    readonly name: SiteName;
    readonly region: string;
    readonly availabilityZones: readonly string[];
    readonly entryVms: number;
    readonly services: readonly ServiceLayout[];
    readonly classes: readonly ClassLoad[];
}
