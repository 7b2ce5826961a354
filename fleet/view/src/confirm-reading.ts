import type { Confirmation } from "./confirmation.js";
import type { ViewState } from "./view-state.js";

type TopicReading = ViewState["registrationReading"];

/**
 * Records that the view of a topic was current at a time. A read that was already recorded is ignored: the reported age
 * does not include the network delay of each hop, so a view would appear fresher after a round trip to a peer.
 */
export const confirmReading = (
    reading: TopicReading,
    opts: { readonly confirmedAtMs: number; readonly confirmation: Confirmation | undefined; },
): TopicReading => {
    const { confirmation, confirmedAtMs } = opts;
    if (
        confirmation === undefined || (reading.latestReadNumbers.get(confirmation.readerId) ?? 0) >= confirmation.number
    ) {
        return reading;
    }
    const latestReadNumbers = new Map(reading.latestReadNumbers).set(confirmation.readerId, confirmation.number);
    return confirmedAtMs <= reading.confirmedAtMs
        ? { ...reading, latestReadNumbers }
        : { ...reading, latestReadNumbers, confirmedAtMs, confirmation };
};
