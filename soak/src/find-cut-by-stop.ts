import type { Outcome } from "@marigoldstall-private/platform";
import type { VmDisturbance } from "./vm-disturbance.js";

// A kill or a pause this close to a planned stop may have cut the request instead.
const MARGIN_MS = 3_000;

const overlaps = (disturbance: VmDisturbance, outcome: Outcome, marginMs: number): boolean =>
    disturbance.vmId === outcome.vmId && disturbance.startedAtMs - marginMs <= outcome.endedAtMs
    && outcome.sentAtMs <= disturbance.endedAtMs + marginMs;

/** Requests that a backend server ran and that a planned stop, and nothing else, left without an answer. */
export const findCutByStop = (opts: {
    readonly outcomes: readonly Outcome[];
    readonly runs: ReadonlyMap<string, readonly number[]>;
    readonly disturbances: readonly VmDisturbance[];
}): readonly string[] => {
    const stops = opts.disturbances.filter(disturbance => disturbance.kind === "stop");
    const others = opts.disturbances.filter(disturbance => disturbance.kind !== "stop");
    return opts.outcomes
        .filter(outcome =>
            outcome.statusCode === undefined && opts.runs.has(outcome.requestId)
            && stops.some(stop => overlaps(stop, outcome, 0))
            && !others.some(other => overlaps(other, outcome, MARGIN_MS))
        )
        .map(outcome => outcome.requestId);
};
