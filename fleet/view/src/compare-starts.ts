import type { BackendServer } from "@marigoldstall/core.types";

/** Orders two registrations of an instance id by the start of the process. Undefined if a start time is unknown. */
export const compareStarts = (a: BackendServer, b: BackendServer): number | undefined =>
    a.startedAtUnixMs === 0 || b.startedAtUnixMs === 0 ? undefined : a.startedAtUnixMs - b.startedAtUnixMs;
