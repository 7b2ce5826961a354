import { fileURLToPath } from "node:url";
import type { SiteName } from "./site-name.js";

/** Path of a site's targets. */
export const findTargetsFile = (site: SiteName): string =>
    fileURLToPath(new URL(`../targets/${site}.yaml`, import.meta.url));
