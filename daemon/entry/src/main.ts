import { releaseEarlySignals } from "./early-signals.js";
// The signals are handled from here on.
import { openStdout } from "./open-stdout.js";

const stdout = openStdout();
// A start without this line ended before the process could handle signals.
const line = {
    time: new Date().toISOString(),
    kind: "loading",
    pid: process.pid,
    uptimeMs: Math.round(performance.now()),
};
stdout.write(Buffer.from(`${JSON.stringify(line)}\n`), () => undefined);

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
    runEntryProgram({ stdout, onSignalsHandled: releaseEarlySignals })
).catch(failStart);
