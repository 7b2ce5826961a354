import type { ConfigurationState } from "./configuration-state.js";

/** Returns the offset from which to read the log next. It can decrease between reads. */
export const selectNextOffset = (state: ConfigurationState): number => state.fold.nextOffset;
