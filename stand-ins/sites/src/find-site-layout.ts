import { luznik } from "./luznik.js";
import type { SiteLayout } from "./site-layout.js";
import { zilina } from "./zilina.js";

const LAYOUTS = [luznik, zilina];

/** Finds a site's layout by its name. */
export const findSiteLayout = (name: string): SiteLayout => {
    const layout = LAYOUTS.find(candidate => candidate.name === name);
    if (layout === undefined) {
        throw new Error(`no site ${name}, expected one of ${LAYOUTS.map(known => known.name).join(", ")}`);
    }
    return layout;
};
