import { runTool } from "@marigoldstall-private/sites";
import type { Site } from "@marigoldstall-private/sites";

const VERSION_KEYS = new Set(["configurationVersion"]);

const collect = (value: unknown, found: number[]): void => {
    if (typeof value !== "object" || !value) {
        return;
    }
    for (const [key, child] of Object.entries(value)) {
        if (VERSION_KEYS.has(key) && typeof child === "number") {
            found.push(child);
        }
        else {
            collect(child, found);
        }
    }
};

/** Versions of the configuration that the daemons state through `marigoldstall status --json`. */
export const readVersions = async (site: Site): Promise<readonly number[]> => {
    const result = await runTool(site, { parameters: ["--json", "status"] });
    const found: number[] = [];
    collect(JSON.parse(result.stdout === "" ? "{}" : result.stdout), found);
    return found;
};
