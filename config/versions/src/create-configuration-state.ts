import type { ConfigurationState } from "./configuration-state.js";
import type { CreateConfigurationStateOptions } from "./create-configuration-state-options.js";
import { EMPTY_FOLD } from "./empty-fold.js";

/** Creates the state of a daemon before its first read. */
export const createConfigurationState = (opts: CreateConfigurationStateOptions): ConfigurationState => ({
    era: 0,
    fold: EMPTY_FOLD,
    retained: undefined,
    caughtUpAtMs: undefined,
    firstCaughtUpAtMs: undefined,
    isCaughtUp: false,
    logUnavailableSinceMs: undefined,
    confirmedAtMs: undefined,
    confirmationCutoffMs: opts.atMs,
    lastTick: undefined,
    pendingFetch: undefined,
    snapshotSeenAtMs: undefined,
    snapshotRequestedAtMs: undefined,
});
