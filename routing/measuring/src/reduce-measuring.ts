import type { Transition } from "@marigoldstall/core.types";
import type { MeasuringEffect } from "./measuring-effect.js";
import type { MeasuringEvent } from "./measuring-event.js";
import type { MeasuringState } from "./measuring-state.js";
import type { OwnedShare } from "./owned-share.js";
import type { ProbeUnitState } from "./probe-unit-state.js";

const SHARE_COUNT = 64;
// The clocks of two daemons differ by up to 2 s, and the former owner may have spent the unit right before its bound.
const TERM_START_DELAY_MS = 3000;
// A probe may be written up to 100 ms after its tick, so the interval between ticks exceeds a second by that much.
const MAX_SEND_DELAY_MS = 100;
// The budget applies where probes arrive, and a probe may be delayed by this much more than the next one.
const DELIVERY_JITTER_MS = 100;
const MIN_UNIT_INTERVAL_MS = 1000 + MAX_SEND_DELAY_MS + DELIVERY_JITTER_MS;

type Tick = Extract<MeasuringEvent, { readonly type: "tick"; }>;

const isUsable = (share: OwnedShare, wallMs: number): boolean =>
    share.usableFromMs + TERM_START_DELAY_MS <= wallMs && wallMs < share.usableUntilMs;

const onTick = (state: MeasuringState, event: Tick): Transition<MeasuringState, MeasuringEffect> => {
    const { atMs, wallMs } = event;
    const isRecent = (lastAtMs: number): boolean => atMs - lastAtMs < MIN_UNIT_INTERVAL_MS;
    const spentUnits = new Map<number, ProbeUnitState>();
    for (const unit of state.spentUnits.values()) {
        if (isRecent(unit.lastProbeAtMs)) {
            spentUnits.set(unit.unit, unit);
        }
    }
    const recentProbes = new Map(Array.from(state.recentProbes).filter(([, lastAtMs]) => isRecent(lastAtMs)));
    const addresses = event.candidates.filter(address => !recentProbes.has(address)).values();
    const effects: MeasuringEffect[] = [];
    for (const share of state.shares.filter(candidate => isUsable(candidate, wallMs))) {
        for (let unit = share.share; unit < state.unitCount; unit += SHARE_COUNT) {
            if (spentUnits.has(unit)) {
                continue;
            }
            const next = addresses.next();
            if (next.done === true) {
                return { state: { ...state, spentUnits, recentProbes }, effects };
            }
            spentUnits.set(unit, { unit, lastProbeAtMs: atMs });
            recentProbes.set(next.value, atMs);
            effects.push({
                type: "send-probe",
                address: next.value,
                unit,
                notAfterAtMs: atMs + MAX_SEND_DELAY_MS,
                beforeWallMs: share.usableUntilMs,
            });
        }
    }
    return { state: { ...state, spentUnits, recentProbes }, effects };
};

/** Applies one event to the measuring state. */
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
