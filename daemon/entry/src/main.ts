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

void import("./run-entry-program.js").then(({ runEntryProgram }) =>
    runEntryProgram({
        onSignalsHandled: () => {
            process.off("SIGHUP", countReload);
            process.off("SIGTERM", exitUnstarted);
            return { earlyReloads };
        },
    })
);
