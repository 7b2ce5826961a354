import { execFileSync } from "node:child_process";
import { cpus, loadavg, totalmem } from "node:os";
import type { BenchOptions } from "./bench-options.js";

const BYTES_PER_GIB = 1_073_741_824;

const describeCommit = (): string => {
    const git = (...args: string[]) => execFileSync("git", args, { encoding: "utf8" }).trim();
    const suffix = git("status", "--porcelain", "--untracked-files=no") === "" ? "" : " with changes";
    return git("rev-parse", "--short", "HEAD") + suffix;
};

/** Describes the commit, machine and options of a measurement. Call it before the measurement starts. */
export const describeConditions = (opts: BenchOptions): readonly string[] => [
    `commit: ${describeCommit()}`,
    `time: ${new Date().toISOString()}`,
    `machine: ${cpus().length} cores (${cpus()[0]?.model ?? "unknown"}), `
    + `${(totalmem() / BYTES_PER_GIB).toFixed(0)} GiB, shared with other work; load average at the start `
    + loadavg().map(load => load.toFixed(1)).join(" "),
    `program: Node.js ${process.version}, all processes on 127.0.0.1`,
    `seeds: ${opts.seeds.join(", ")}; ${opts.durationSeconds} s measured in each run after the warm-up, open loop, `
    + "latency counted from the time a call was due",
];
