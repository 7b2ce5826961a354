import { readFileSync } from "node:fs";
import type { TrafficSample } from "./traffic-sample.js";

const PREFIX = "traffic ";

/** Newest sample that count-traffic-main wrote into the log of a daemon. */
export const readTraffic = (logFile: string): TrafficSample => {
    // The last line may be written at this moment, so only lines with an end count.
    const lines = readFileSync(logFile, "utf8").split("\n").slice(0, -1);
    const newest = lines.filter(line => line.startsWith(PREFIX)).at(-1);
    if (newest === undefined) {
        throw new Error(`${logFile} holds no traffic sample`);
    }
    return JSON.parse(newest.slice(PREFIX.length)) as TrafficSample;
};
