import type { ViewSummary } from "@marigoldstall/fleet.view";

export const SUMMARY: ViewSummary = {
    next: { era: 0, offset: 0 },
    base: { era: 0, offset: 0 },
    changes: [],
    ageMs: 10,
    confirmation: { readerId: "a/1", number: 4 },
    configurationVersion: 1,
    configurationAgeMs: 10,
    configurationConfirmation: undefined,
};
