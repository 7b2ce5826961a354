import type { BackendServer } from "@marigoldstall/core.types";

type ProcessStart = Pick<BackendServer, "startedAtUnixMs">;

/** Orders two processes of an instance id by their start. Undefined if a start time is unknown. */
export const compareStarts = (a: ProcessStart, b: ProcessStart): number | undefined =>
    a.startedAtUnixMs === 0 || b.startedAtUnixMs === 0 ? undefined : a.startedAtUnixMs - b.startedAtUnixMs;
