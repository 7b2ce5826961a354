import { readFileSync } from "node:fs";
import type { TrafficSample } from "./traffic-sample.js";

const PREFIX = "traffic ";

/** Returns the latest sample that count-traffic-main wrote to the log file of a daemon. */
export const readTraffic = (logFile: string): TrafficSample => {
    // The daemon may still be writing the last line, so a line without a line break is ignored.
    const lines = readFileSync(logFile, "utf8").split("\n").slice(0, -1);
    const newest = lines.filter(line => line.startsWith(PREFIX)).at(-1);
    if (newest === undefined) {
        throw new Error(`no traffic sample found in ${logFile}`);
    }
    return JSON.parse(newest.slice(PREFIX.length)) as TrafficSample;
};
