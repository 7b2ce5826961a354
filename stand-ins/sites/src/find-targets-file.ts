import { fileURLToPath } from "node:url";
import type { SiteName } from "./site-name.js";

/** Returns the path of the targets file of a site. */
export const findTargetsFile = (site: SiteName): string =>
    fileURLToPath(new URL(`../targets/${site}.yaml`, import.meta.url));
