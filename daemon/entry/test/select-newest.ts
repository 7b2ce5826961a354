import type { RegistrationChange } from "@marigoldstall/fleet.view";

/** The newest record of each registered server. */
export const selectNewest = (changes: readonly RegistrationChange[]): readonly RegistrationChange[] =>
    [...new Map(changes.map(change => [change.instanceId, change])).values()]
        .filter(change => change.server !== undefined);
