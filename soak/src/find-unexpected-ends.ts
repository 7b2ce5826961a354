import type { ProcessEnd } from "./process-end.js";

const isExpected = (end: ProcessEnd, opts: { readonly hasEarlyReloads: boolean; }): boolean => {
    // Until Node.js runs the first file of a program, signals have their default action.
    const endedBySignal = (signal: NodeJS.Signals): boolean => end.result === signal && !end.hadLoaded;
    if (opts.hasEarlyReloads && endedBySignal("SIGHUP")) {
        return true;
    }
    switch (end.requestedSignal) {
        case undefined:
            return false;
        case "SIGTERM":
            return end.result === 0 || endedBySignal("SIGTERM");
        default:
            return end.result === end.requestedSignal;
    }
};

/** Returns a line for each process that ended although the soak test did not end it, or in another way. */
export const findUnexpectedEnds = (
    ends: readonly ProcessEnd[],
    opts: { readonly hasEarlyReloads: boolean; },
): readonly string[] =>
    ends.filter(end => !isExpected(end, opts)).map(end =>
        `${end.vmId} (process ${end.pid}) ended with ${end.result} ${end.sinceStartMs} ms after its start, `
        + `${end.requestedSignal === undefined ? "by itself" : `after ${end.requestedSignal}`}, `
        + `${end.hadLoaded ? "" : "not "}loaded; last line: ${end.lastLogLine}`
    );
