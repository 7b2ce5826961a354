import { fstatSync } from "node:fs";
import { FileOutput } from "./file-output.js";
import type { LogOutput } from "./log-output.js";
import { StreamOutput } from "./stream-output.js";

const STDOUT_FD = 1;

/** Opens standard output for the log. To be called once in a process. */
export const openStdout = (): LogOutput => {
    const stats = fstatSync(STDOUT_FD);
    return stats.isFIFO() || stats.isSocket()
        ? new StreamOutput({ fd: STDOUT_FD })
        : new FileOutput({ fd: STDOUT_FD });
};
