// Ends the daemons of a site when the process that started them dies, since daemons themselves outlive it.
import { createInterface } from "node:readline";

const pids = new Set<number>();

process.on("SIGINT", () => undefined).on("SIGTERM", () => undefined);
const lines = createInterface({ input: process.stdin });
lines.on("line", line => {
    const pid = Number(line.slice(1));
    // 0 would address the whole process group.
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
            // Already gone.
        }
    }
    process.exit(0);
});
