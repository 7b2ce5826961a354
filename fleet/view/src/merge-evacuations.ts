import type { Transition } from "@marigoldstall/core.types";
import { comparePositions } from "./compare-positions.js";
import { selectEvacuatedZones } from "./select-evacuated-zones.js";
import type { ViewEffect } from "./view-effect.js";
import type { ViewState } from "./view-state.js";
import type { ZoneEvacuation } from "./zone-evacuation.js";

// The list is part of each heartbeat, which must fit into a datagram of 64 KB. A fleet has fewer than ten zones.
const MAX_EVACUATIONS = 64;

// Of two records at one position, only one can be from the current history of the store. The safe one counts.
const isNews = (known: ZoneEvacuation | undefined, record: ZoneEvacuation): boolean => {
    if (known === undefined) {
        return true;
    }
    const order = comparePositions(record.position, known.position);
    return order > 0 || (order === 0 && record.isEvacuated && !known.isEvacuated);
};

// Records that took an evacuation back are dropped first, the earliest ones before others.
const limitCount = (evacuations: Map<string, ZoneEvacuation>): ReadonlyMap<string, ZoneEvacuation> => {
    if (evacuations.size <= MAX_EVACUATIONS) {
        return evacuations;
    }
    const kept = [...evacuations.values()]
        .sort((a, b) => Number(b.isEvacuated) - Number(a.isEvacuated) || comparePositions(b.position, a.position))
        .slice(0, MAX_EVACUATIONS);
    return new Map(kept.map(evacuation => [evacuation.zone, evacuation]));
};

/** Applies records about zones, from the store or from a peer, unless a later record on the same zone is known. */
export const mergeEvacuations = (
    state: ViewState,
    opts: { readonly records: readonly ZoneEvacuation[]; readonly source: string; },
): Transition<ViewState, ViewEffect> => {
    const { records, source } = opts;
    const merged = new Map(state.evacuations);
    let hasNews = false;
    for (const record of records) {
        if (isNews(merged.get(record.zone), record)) {
            merged.set(record.zone, record);
            hasNews = true;
        }
    }
    if (!hasNews) {
        return { state, effects: [] };
    }
    const next = { ...state, evacuations: limitCount(merged) };
    const before = selectEvacuatedZones(state);
    const after = selectEvacuatedZones(next);
    const evacuatedZones = after.filter(zone => !before.includes(zone));
    const restoredZones = before.filter(zone => !after.includes(zone));
    return {
        state: next,
        effects: evacuatedZones.length + restoredZones.length === 0
            ? []
            : [{ type: "evacuations-changed", zones: after, evacuatedZones, restoredZones, source }],
    };
};
