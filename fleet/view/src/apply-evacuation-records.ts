import type { Transition } from "@marigoldstall/core.types";
import { mergeEvacuations } from "./merge-evacuations.js";
import type { ViewEffect } from "./view-effect.js";
import type { ViewEvent } from "./view-event.js";
import type { ViewState } from "./view-state.js";
import type { ZoneEvacuation } from "./zone-evacuation.js";

type ConfigurationRead = Extract<ViewEvent, { readonly type: "configuration-read"; }>;

// A complete list shows that a zone without a record is back in service. What an earlier era of the store said is kept, as
// the copy from which the store was restored may be from before the evacuation.
const listRestoredZones = (
    state: ViewState,
    opts: { readonly listed: readonly ZoneEvacuation[]; readonly era: number; readonly nextOffset: number; },
): readonly ZoneEvacuation[] => {
    const { listed, era, nextOffset } = opts;
    const zones = new Set(listed.map(({ zone }) => zone));
    return [...state.evacuations.values()]
        .filter(({ zone, position, isEvacuated }) =>
            isEvacuated && position.era === era && position.offset < nextOffset && !zones.has(zone)
        )
        .map(({ zone }) => ({ zone, position: { era, offset: nextOffset - 1 }, isEvacuated: false }));
};

/** Applies the records about zones in a response of the store. */
export const applyEvacuationRecords = (
    state: ViewState,
    event: ConfigurationRead,
): Transition<ViewState, ViewEffect> => {
    const { era, from, nextOffset, evacuations = [] } = event;
    const records = evacuations.map(({ zone, offset, isEvacuated }) => ({
        zone,
        position: { era, offset },
        isEvacuated,
    }));
    if (from?.era === era) {
        return mergeEvacuations(state, { records, source: "store" });
    }
    // These records may be from the copy from which the store was restored, which must not take an evacuation back.
    const listed = records.filter(({ isEvacuated }) => isEvacuated);
    const restored = from === undefined ? listRestoredZones(state, { listed, era, nextOffset }) : [];
    return mergeEvacuations(state, { records: [...listed, ...restored], source: "store" });
};
