// The platform sends SIGHUP and SIGTERM to processes that have just started too. Loading the daemon takes about 0.1 s, so
// this file imports nothing before both are handled.
const ignoreReload = (): void => undefined;
const exitUnstarted = (): void => {
    process.exit(0);
};
process.on("SIGHUP", ignoreReload);
process.on("SIGTERM", exitUnstarted);

void import("./run-entry-program.js").then(({ runEntryProgram }) =>
    runEntryProgram({
        onSignalsHandled: () => {
            process.off("SIGHUP", ignoreReload);
            process.off("SIGTERM", exitUnstarted);
        },
    })
);
