import type { Clock } from "@marigoldstall/daemon.connections";

const RADIX = 36;

/** Names one run of the process, so that reads of a former one are not taken for its own. */
export const createIncarnation = (clock: Clock): string =>
    Math.floor(clock.random() * Number.MAX_SAFE_INTEGER).toString(RADIX);
