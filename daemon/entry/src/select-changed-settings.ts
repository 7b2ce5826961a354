import type { EntrySettings } from "@marigoldstall/core.types";
import { isDeepStrictEqual } from "node:util";

/** Names of the settings that differ. */
export const selectChangedSettings = (before: EntrySettings, after: EntrySettings): readonly string[] => {
    const afterEntries = new Map<string, unknown>(Object.entries(after));
    return Object.entries(before).filter(([name, value]) => !isDeepStrictEqual(value, afterEntries.get(name)))
        .map(([name]) => name);
};
