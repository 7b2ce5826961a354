// Kills the daemons of a site when the process that started them dies, because daemons do not exit with their parent.
// Reads lines of the form `+PID` and `-PID` from standard input and kills the registered processes when it closes.
import { createInterface } from "node:readline";

const pids = new Set<number>();

process.on("SIGINT", () => undefined).on("SIGTERM", () => undefined);
const lines = createInterface({ input: process.stdin });
lines.on("line", line => {
    const pid = Number(line.slice(1));
    // process.kill(0) would signal the whole process group.
    if (line.startsWith("+") && pid > 1) {
        pids.add(pid);
    }
    else {
        pids.delete(pid);
    }
});
lines.on("close", () => {
    for (const pid of pids) {
        try {
            process.kill(pid, "SIGKILL");
        }
        catch {
            // The process has already exited.
        }
    }
    process.exit(0);
});
