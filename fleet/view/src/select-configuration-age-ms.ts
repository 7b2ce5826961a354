import type { ViewState } from "./view-state.js";

/** Time since the store is known to have held no newer configuration. */
export const selectConfigurationAgeMs = (state: ViewState, atMs: number): number =>
    atMs - state.configurationReading.confirmedAtMs;
