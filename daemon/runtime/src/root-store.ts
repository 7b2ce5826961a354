import type { Clock } from "@marigoldstall/daemon.connections";
import { reduceRoot, type RootEffect, type RootEventBody, type RootState } from "@marigoldstall/daemon.state";
import { selectNextWakeAtMs } from "@marigoldstall/routing.state";

/** Holds the root state, reduces one event at a time and runs the effects of each before the next. */
export class RootStore {
    private readonly clock: Clock;
    private readonly runEffect: (effect: RootEffect) => void;
    private readonly onError: (error: unknown, event: RootEventBody) => void;
    private readonly queue: RootEventBody[] = [];
    private currentState: RootState;
    private running = false;
    private wakeTimer: NodeJS.Timeout | undefined;
    private wakeAtMs = Infinity;

    constructor(opts: {
        readonly state: RootState;
        readonly clock: Clock;
        readonly runEffect: (effect: RootEffect) => void;
        readonly onError: (error: unknown, event: RootEventBody) => void;
    }) {
        this.currentState = opts.state;
        this.clock = opts.clock;
        this.runEffect = opts.runEffect;
        this.onError = opts.onError;
    }

    get state(): RootState {
        return this.currentState;
    }

    /** Reduces an event and runs its effects synchronously. During another dispatch, the event is queued. */
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
                    // A failing event must not block the other events or end the background loop that dispatched it.
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
        // Every event object is used only here, so the context is added in place. Copying all fields would be the most
        // expensive step of the dispatch.
        const { state, effects } = reduceRoot(
            this.currentState,
            Object.assign(event, {
                atMs: this.clock.atMs(),
                wallMs: this.clock.wallMs(),
                random: this.clock.random(),
            }),
        );
        this.currentState = state;
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

    /** Uses a single timer for all deadlines and hedges and resets it only for an earlier wake-up. */
    private scheduleWake(): void {
        const wakeAtMs = selectNextWakeAtMs(this.currentState.routing);
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
