import type { Confirmation } from "./confirmation.js";
import type { ViewState } from "./view-state.js";

/** Identifies the read that this daemon has just completed. */
export const nextConfirmation = (state: ViewState, reading: ViewState["registrationReading"]): Confirmation => ({
    readerId: state.readerId,
    number: (reading.latestReadNumbers.get(state.readerId) ?? 0) + 1,
});
