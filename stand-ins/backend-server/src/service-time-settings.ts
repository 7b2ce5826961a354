import type { ServiceTime } from "./service-time.js";

/** Decoded form of {@link ServiceTime}. */
export type ServiceTimeSettings = typeof ServiceTime.Type;
