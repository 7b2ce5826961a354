import type { ViewState } from "./view-state.js";

/**
 * Corrects a time by what the clock did not count while the VM was suspended. A response to a read from before would
 * otherwise make the view look current when it arrives.
 */
export const selectCountedTimeMs = ({ lastResume }: ViewState, timeMs: number): number =>
    lastResume !== undefined && timeMs < lastResume.atMs ? timeMs - lastResume.uncountedMs : timeMs;
