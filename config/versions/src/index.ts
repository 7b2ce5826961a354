export type { ConfigurationEffect } from "./configuration-effect.js";
export type { ConfigurationEvent } from "./configuration-event.js";
