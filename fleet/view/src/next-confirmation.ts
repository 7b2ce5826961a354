import type { Confirmation } from "./confirmation.js";
import type { ViewState } from "./view-state.js";

/** Name of a read that this daemon has just made. */
export const nextConfirmation = (state: ViewState, reading: ViewState["registrationReading"]): Confirmation => ({
    readerId: state.readerId,
    number: (reading.heardReads.get(state.readerId) ?? 0) + 1,
});
