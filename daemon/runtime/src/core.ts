import type { Clock } from "@marigoldstall/daemon.connections";
import { reduceRoot, type RootEffect, type RootEventBody, type RootState } from "@marigoldstall/daemon.state";
import { selectNextWakeAtMs } from "@marigoldstall/routing.state";

/** Holds the state, feeds events to the root reducer one after the other, and runs the effects in between. */
export class Core {
    private readonly clock: Clock;
    private readonly runEffect: (effect: RootEffect) => void;
    private readonly onError: (error: unknown, event: RootEventBody) => void;
    private readonly queue: RootEventBody[] = [];
    private current: RootState;
    private running = false;
    private wakeTimer: NodeJS.Timeout | undefined;
    private wakeAtMs = Infinity;

    constructor(opts: {
        readonly state: RootState;
        readonly clock: Clock;
        readonly runEffect: (effect: RootEffect) => void;
        readonly onError: (error: unknown, event: RootEventBody) => void;
    }) {
        this.current = opts.state;
        this.clock = opts.clock;
        this.runEffect = opts.runEffect;
        this.onError = opts.onError;
    }

    get state(): RootState {
        return this.current;
    }

    /** Reduces an event and runs its effects before it returns, unless another event is being handled. */
    dispatch(event: RootEventBody): void {
        this.queue.push(event);
        if (this.running) {
            return;
        }
        this.running = true;
        try {
            for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
                try {
                    this.reduce(next);
                }
                catch (error) {
                    // One event that cannot be handled must not stop the others, nor end a background loop.
                    this.onError(error, next);
                }
            }
        }
        finally {
            this.running = false;
        }
        this.scheduleWake();
    }

    private reduce(event: RootEventBody): void {
        // Each event is made for this one call, so that the context is added in place: a copy of all fields would be
        // the most expensive step here.
        const { state, effects } = reduceRoot(
            this.current,
            Object.assign(event, {
                atMs: this.clock.atMs(),
                wallMs: this.clock.wallMs(),
                random: this.clock.random(),
            }),
        );
        this.current = state;
        for (const effect of effects) {
            try {
                this.runEffect(effect);
            }
            catch (error) {
                this.onError(error, event);
            }
        }
    }

    close(): void {
        clearTimeout(this.wakeTimer);
        this.wakeTimer = undefined;
    }

    /** One timer serves all deadlines and hedges; it is only set anew when something is due earlier. */
    private scheduleWake(): void {
        const wakeAtMs = selectNextWakeAtMs(this.current.routing);
        if (wakeAtMs === undefined || (this.wakeTimer !== undefined && wakeAtMs >= this.wakeAtMs)) {
            return;
        }
        clearTimeout(this.wakeTimer);
        this.wakeAtMs = wakeAtMs;
        this.wakeTimer = setTimeout(() => {
            this.wakeTimer = undefined;
            this.dispatch({ type: "routing-tick" });
        }, Math.max(1, Math.ceil(wakeAtMs - this.clock.atMs())));
    }
}
