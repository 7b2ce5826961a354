import type { ConfigurationState } from "./configuration-state.js";
import type { CreateConfigurationStateOptions } from "./create-configuration-state-options.js";
import { EMPTY_FOLD } from "./empty-fold.js";

/** State of a daemon that has read nothing yet. */
export const createConfigurationState = (opts: CreateConfigurationStateOptions): ConfigurationState => ({
    fold: EMPTY_FOLD,
    caughtUpAtMs: undefined,
    firstCaughtUpAtMs: undefined,
    isCaughtUp: false,
    logUnavailableSinceMs: undefined,
    confirmedAtMs: undefined,
    inDoubtSinceMs: opts.atMs,
    lastTick: undefined,
    fetch: undefined,
    snapshotSeenAtMs: undefined,
    snapshotRequestedAtMs: undefined,
});
