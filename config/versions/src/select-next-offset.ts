import type { ConfigurationState } from "./configuration-state.js";

/** Offset from which to read the log next. It can be lower than after the read before. */
export const selectNextOffset = (state: ConfigurationState): number => state.fold.nextOffset;
