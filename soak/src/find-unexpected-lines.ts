import { readFileSync } from "node:fs";

// Faults that a daemon survived, uncaught exceptions and unhandled rejections among them, and ports held by another.
const FAULT_LINE = /"kind":"(event-failed|port-unavailable)"/;

/** Returns the lines of a daemon's log that report a fault, and those that it did not write itself. */
export const findUnexpectedLines = (logFile: string): readonly string[] =>
    readFileSync(logFile, "utf8").split("\n").filter(line =>
        line !== "" && (!line.startsWith("{") || FAULT_LINE.test(line))
    ).map(line => `${logFile}: ${line}`);
