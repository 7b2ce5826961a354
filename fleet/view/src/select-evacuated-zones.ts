import type { ViewState } from "./view-state.js";

/** The zones to whose servers no request may be sent. */
export const selectEvacuatedZones = (state: ViewState): readonly string[] =>
    [...state.evacuations.values()].filter(({ isEvacuated }) => isEvacuated).map(({ zone }) => zone);
