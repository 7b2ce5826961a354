import type { Clock } from "@marigoldstall/daemon.connections";

// A running daemon handles an event every 50 ms. A small VM under load may take a few hundred milliseconds for one.
const MIN_PAUSE_MS = 1_000;

interface Pause {
    /** Time since the event before. */
    readonly gapMs: number;
    /** Part of it that the monotonic clock did not count, as it stands still while a VM is suspended. */
    readonly uncountedMs: number;
}

/** Detects that the process or its VM did not run for a while. A forward step of the time of day looks the same. */
export class PauseDetector {
    private readonly clock: Clock;
    private lastAtMs: number;
    private lastWallMs: number;

    constructor(opts: { readonly clock: Clock; }) {
        this.clock = opts.clock;
        this.lastAtMs = opts.clock.atMs();
        this.lastWallMs = opts.clock.wallMs();
    }

    /** To be called before each event. Returns the pause that ended with this call. */
    observe(): Pause | undefined {
        const atMs = this.clock.atMs();
        const wallMs = this.clock.wallMs();
        const countedMs = atMs - this.lastAtMs;
        const uncountedMs = Math.max(0, wallMs - this.lastWallMs - countedMs);
        this.lastAtMs = atMs;
        this.lastWallMs = wallMs;
        const isPause = countedMs >= MIN_PAUSE_MS || uncountedMs >= MIN_PAUSE_MS;
        return isPause
            ? { gapMs: countedMs + uncountedMs, uncountedMs: uncountedMs >= MIN_PAUSE_MS ? uncountedMs : 0 }
            : undefined;
    }
}
