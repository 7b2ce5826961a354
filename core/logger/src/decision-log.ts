import type { Decision } from "@marigoldstall/core.types";
import createDebug from "debug";
import type { DecisionLogOptions } from "./decision-log-options.js";
import { formatDecision } from "./format-decision.js";
import type { LoggedDecision } from "./logged-decision.js";

const DEFAULT_CAPACITY = 8192;

/** Logs decisions through `debug`, one line each, and retains the most recent ones in a ring buffer. */
export class DecisionLog {
    private readonly capacity: number;
    private readonly write: ((concern: string, line: string) => void) | undefined;
    private readonly ring: LoggedDecision[] = [];
    private readonly debuggers = new Map<string, createDebug.Debugger>();
    private nextIndex = 0;

    constructor(opts: DecisionLogOptions = {}) {
        this.capacity = Math.max(1, opts.capacity ?? DEFAULT_CAPACITY);
        this.write = opts.write;
    }

    record(concern: string, decision: Decision, wallMs: number): void {
        const logged: LoggedDecision = { concern, wallMs, decision };
        this.ring[this.nextIndex] = logged;
        this.nextIndex = (this.nextIndex + 1) % this.capacity;
        if (this.write !== undefined) {
            this.write(concern, formatDecision(logged));
            return;
        }
        let debug = this.debuggers.get(concern);
        if (debug === undefined) {
            debug = createDebug(`marigoldstall:${concern}`);
            this.debuggers.set(concern, debug);
        }
        // Formatting takes microseconds per line, so it is skipped unless the namespace is enabled.
        if (debug.enabled) {
            debug("%s", formatDecision(logged));
        }
    }

    /**
     * Returns the retained decisions about a request, oldest first. Scans the ring buffer, since `explain` is rare and
     * `record` is frequent.
     */
    findByRequestId(requestId: string): readonly LoggedDecision[] {
        const older = this.ring.slice(this.nextIndex);
        const newer = this.ring.slice(0, this.nextIndex);
        return [...older, ...newer].filter(logged => logged.decision.requestId === requestId);
    }
}
