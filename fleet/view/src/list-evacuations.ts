import type { ViewState } from "./view-state.js";
import type { ZoneEvacuation } from "./zone-evacuation.js";

/** The records on zones for a peer, as a field of the message. Without any record, the message has no such field. */
export const listEvacuations = (state: ViewState): { readonly evacuations?: readonly ZoneEvacuation[]; } =>
    state.evacuations.size === 0 ? {} : { evacuations: [...state.evacuations.values()] };
