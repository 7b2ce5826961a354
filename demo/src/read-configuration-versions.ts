import { runTool } from "@marigoldstall-private/sites";
import type { Site } from "@marigoldstall-private/sites";

const VERSION_KEYS = new Set(["configurationVersion"]);

const collectVersions = (value: unknown, versions: number[]): void => {
    if (typeof value !== "object" || !value) {
        return;
    }
    for (const [key, child] of Object.entries(value)) {
        if (VERSION_KEYS.has(key) && typeof child === "number") {
            versions.push(child);
        }
        else {
            collectVersions(child, versions);
        }
    }
};

/** Returns the configuration versions that `marigoldstall status --json` reports for the daemons. */
export const readConfigurationVersions = async (site: Site): Promise<readonly number[]> => {
    const result = await runTool(site, { parameters: ["--json", "status"] });
    const versions: number[] = [];
    collectVersions(JSON.parse(result.stdout === "" ? "{}" : result.stdout), versions);
    return versions;
};
