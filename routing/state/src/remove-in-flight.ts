import type { Mutable } from "./mutable.js";
import type { ServiceState } from "./service-state.js";

/** Removes a request from the list of those that wait for a response. */
export const removeInFlight = (service: Mutable<ServiceState>, requestId: string): void => {
    const index = service.inFlightIds.indexOf(requestId);
    if (index >= 0) {
        service.inFlightIds = service.inFlightIds.toSpliced(index, 1);
    }
};
