import { luznik } from "./luznik.js";
import type { SiteLayout } from "./site-layout.js";
import { zilina } from "./zilina.js";

const LAYOUTS = [luznik, zilina];

/** Returns the layout of the site with this name. Throws when there is none. */
export const findSiteLayout = (name: string): SiteLayout => {
    const layout = LAYOUTS.find(candidate => candidate.name === name);
    if (layout === undefined) {
        throw new Error(`unknown site ${name}, expected one of ${LAYOUTS.map(known => known.name).join(", ")}`);
    }
    return layout;
};
