import type { Outcome } from "@marigoldstall-private/platform";
import type { VmFault } from "./vm-fault.js";

// A kill or a pause within this margin of the request may have cut it off instead of the planned stop.
const MARGIN_MS = 3_000;

const overlaps = (fault: VmFault, outcome: Outcome, marginMs: number): boolean =>
    fault.vmId === outcome.vmId && fault.startedAtMs - marginMs <= outcome.endedAtMs
    && outcome.sentAtMs <= fault.endedAtMs + marginMs;

/** Finds the requests that a backend server ran and that got no response only because of a planned stop. */
export const findRequestsCutByStop = (opts: {
    readonly outcomes: readonly Outcome[];
    readonly runs: ReadonlyMap<string, readonly number[]>;
    readonly vmFaults: readonly VmFault[];
}): readonly string[] => {
    const stops = opts.vmFaults.filter(disturbance => disturbance.kind === "stop");
    const others = opts.vmFaults.filter(disturbance => disturbance.kind !== "stop");
    return opts.outcomes
        .filter(outcome =>
            outcome.statusCode === undefined && opts.runs.has(outcome.requestId)
            && stops.some(stop => overlaps(stop, outcome, 0))
            && !others.some(other => overlaps(other, outcome, MARGIN_MS))
        )
        .map(outcome => outcome.requestId);
};
