import type { Clock } from "@marigoldstall/daemon.connections";

const RADIX = 36;

/** Creates a random id for this run of the process, so that store reads of an earlier run are not attributed to it. */
export const createIncarnation = (clock: Clock): string =>
    Math.floor(clock.random() * Number.MAX_SAFE_INTEGER).toString(RADIX);
