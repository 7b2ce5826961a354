import type { ViewSummary } from "@marigoldstall/fleet.view";

export const SUMMARY: ViewSummary = {
    nextOffset: 0,
    baseOffset: 0,
    changes: [],
    ageMs: 10,
    confirmation: { readerId: "a/1", number: 4 },
    configurationVersion: 1,
    configurationAgeMs: 10,
    configurationConfirmation: undefined,
};
