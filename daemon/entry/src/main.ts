import { write } from "node:fs";

// The platform sends SIGHUP and SIGTERM to processes that have just started too. Loading the daemon takes about 0.1 s, so
// this file imports nothing of it before both are handled.
let earlyReloads = 0;
const countReload = (): void => {
    earlyReloads += 1;
};
const exitUnstarted = (): void => {
    process.exit(0);
};
process.on("SIGHUP", countReload);
process.on("SIGTERM", exitUnstarted);

const STDOUT_FD = 1;
// A start without this line ended before the process could handle signals. The write is asynchronous, as a reader of
// stdout that has stopped must not hold up the start.
const line = {
    time: new Date().toISOString(),
    kind: "loading",
    pid: process.pid,
    uptimeMs: Math.round(performance.now()),
};
write(STDOUT_FD, `${JSON.stringify(line)}\n`, () => undefined);

const EXIT_START_FAILED = 2;
const MAX_FRAMES = 5;
const failStart = (cause: unknown): never => {
    const error = cause instanceof Error ? cause : new Error(String(cause));
    // Only the frames of the stack are written. That of a syntax error may begin with a line of the bundle, which has
    // some 20 KB.
    const frames = (error.stack ?? "").split("\n").filter(text => text.startsWith("    at "));
    const lines = [
        `ERR_MARIGOLDSTALL_START_FAILED ${error.name}: ${error.message}`,
        "  while: load and start the daemon (marigoldstall-entry-program.cjs)",
        "  hint: check that the build has ended and that both files of the program come from the same build",
        ...frames.slice(0, MAX_FRAMES),
    ];
    process.stderr.write(`${lines.join("\n")}\n`);
    process.exit(EXIT_START_FAILED);
};

import("./run-entry-program.js").then(({ runEntryProgram }) =>
    runEntryProgram({
        onSignalsHandled: () => {
            process.off("SIGHUP", countReload);
            process.off("SIGTERM", exitUnstarted);
            return { earlyReloads };
        },
    })
).catch(failStart);
