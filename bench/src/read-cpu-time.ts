import { readFileSync } from "node:fs";

// Linux reports CPU time in clock ticks of 1/100 s.
const MS_PER_TICK = 10;
// Positions after the command name in /proc/PID/stat.
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Returns the CPU time that a process has used so far, in milliseconds. */
export const readCpuTime = (pid: number): number => {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").replace(/^.*\) /, "").split(" ");
    return MS_PER_TICK * (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]));
};
