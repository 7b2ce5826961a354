import type { CallClass } from "./call-class.js";

/** Decoded form of {@link CallClass}. */
export type CallClassSettings = typeof CallClass.Type;
