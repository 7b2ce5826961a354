import type { Transition } from "@marigoldstall/core.types";
import type { MeasuringEffect } from "./measuring-effect.js";
import type { MeasuringEvent } from "./measuring-event.js";
import type { MeasuringState } from "./measuring-state.js";
import type { OwnedShare } from "./owned-share.js";
import type { ProbeUnitState } from "./probe-unit-state.js";

const SHARE_COUNT = 64;
// Clocks of two daemons differ by up to 2 s, and the former owner may have spent the unit just before its bound.
const START_DELAY_MS = 3000;
// The shell may write a probe up to 100 ms after the tick, so that much more than a second lies between two ticks.
const SEND_WITHIN_MS = 100;
// The budget holds where probes arrive, and one may take this much longer than the next on its way.
const DELIVERY_JITTER_MS = 100;
const SPACING_MS = 1000 + SEND_WITHIN_MS + DELIVERY_JITTER_MS;

type Tick = Extract<MeasuringEvent, { readonly type: "tick"; }>;

const isUsable = (share: OwnedShare, wallMs: number): boolean =>
    share.usableFromMs + START_DELAY_MS <= wallMs && wallMs < share.usableUntilMs;

const onTick = (state: MeasuringState, event: Tick): Transition<MeasuringState, MeasuringEffect> => {
    const { atMs, wallMs } = event;
    const isRecent = (lastAtMs: number): boolean => atMs - lastAtMs < SPACING_MS;
    const units = new Map<number, ProbeUnitState>();
    for (const unit of state.units.values()) {
        if (isRecent(unit.lastProbeAtMs)) {
            units.set(unit.unit, unit);
        }
    }
    const recentProbes = new Map(Array.from(state.recentProbes).filter(([, lastAtMs]) => isRecent(lastAtMs)));
    const addresses = event.candidates.filter(address => !recentProbes.has(address)).values();
    const effects: MeasuringEffect[] = [];
    for (const share of state.shares.filter(candidate => isUsable(candidate, wallMs))) {
        for (let unit = share.share; unit < state.unitCount; unit += SHARE_COUNT) {
            if (units.has(unit)) {
                continue;
            }
            const next = addresses.next();
            if (next.done === true) {
                return { state: { ...state, units, recentProbes }, effects };
            }
            units.set(unit, { unit, lastProbeAtMs: atMs });
            recentProbes.set(next.value, atMs);
            effects.push({
                type: "send-probe",
                address: next.value,
                unit,
                notAfterAtMs: atMs + SEND_WITHIN_MS,
                beforeWallMs: share.usableUntilMs,
            });
        }
    }
    return { state: { ...state, units, recentProbes }, effects };
};

/** Reduces one event of the measuring slice. */
export const reduceMeasuring = (
    state: MeasuringState,
    event: MeasuringEvent,
): Transition<MeasuringState, MeasuringEffect> => {
    switch (event.type) {
        case "budget-changed":
            return { state: { ...state, unitCount: Math.max(0, Math.floor(event.probesPerSecond)) }, effects: [] };
        case "shares-changed":
            return { state: { ...state, shares: event.shares }, effects: [] };
        case "tick":
            return onTick(state, event);
    }
};
