import type { CallerOptions } from "./caller-options.js";

/** Decoded form of {@link CallerOptions}. */
export type CallerSettings = typeof CallerOptions.Type;
