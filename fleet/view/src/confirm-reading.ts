import type { Confirmation } from "./confirmation.js";
import type { ViewState } from "./view-state.js";

type TopicReading = ViewState["registrationReading"];

/**
 * Notes that a view was current at a time. A read that was heard of before changes nothing: an age grows by the time on
 * the way at each hop, of which no VM knows, so a view would seem to grow younger by going to a peer and back.
 */
export const confirmReading = (
    reading: TopicReading,
    opts: { readonly confirmedAtMs: number; readonly confirmation: Confirmation | undefined; },
): TopicReading => {
    const { confirmation, confirmedAtMs } = opts;
    if (confirmation === undefined || (reading.heardReads.get(confirmation.readerId) ?? 0) >= confirmation.number) {
        return reading;
    }
    const heardReads = new Map(reading.heardReads).set(confirmation.readerId, confirmation.number);
    return confirmedAtMs <= reading.confirmedAtMs
        ? { ...reading, heardReads }
        : { ...reading, heardReads, confirmedAtMs, confirmation };
};
