import type { BackendOptions } from "./backend-options.js";

/** Decoded form of {@link BackendOptions}. */
export type BackendSettings = typeof BackendOptions.Type;
