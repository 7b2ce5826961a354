import { readFileSync } from "node:fs";

/** Linux counts processor time in hundredths of a second. */
const MS_PER_TICK = 10;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Processor time that a process has used so far, in milliseconds. */
export const readProcessorTime = (pid: number): number => {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").replace(/^.*\) /, "").split(" ");
    return MS_PER_TICK * (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]));
};
