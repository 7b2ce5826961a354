import type { Clock } from "@marigoldstall/daemon.connections";
import type { LogRead, RootEventBody } from "@marigoldstall/daemon.state";
import type { LogClient } from "@marigoldstall/platform.log-client";
import type { VmListClient } from "@marigoldstall/platform.vm-list-client";
import * as Effect from "effect/Effect";
import * as Schedule from "effect/Schedule";
import type { Metrics } from "./metrics.js";

const VM_LIST_INTERVAL_MS = 1_000;
const TICK_INTERVAL_MS = 100;
const SECOND_MS = 1_000;
// A connection to the log that went silent is given up after this time and the client's limit of 5 s, so that a
// daemon misses records for less than 10 s. Without records each daemon sends a read every 4 s a stream.
const LOG_WAIT_MS = 4_000;
const LOG_RETRY_MS = 500;
// Every daemon appends to the ownership stream every 2 s. Waiting after a read takes several records at once, which
// keeps the number of reads independent of the size of the fleet; rights do not depend on how fresh a read is.
const OWNERSHIP_PAUSE_MS = 250;
const READ_LIMIT = 500;

interface TailOptions {
    readonly stream: "configuration" | "ownership";
    readonly nextOffset: () => number;
    readonly onRead: (read: LogRead) => void;
    readonly onUnavailable: () => void;
}

interface StartLoopsOptions {
    readonly log: LogClient;
    readonly vmList: VmListClient;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly signal: AbortSignal;
    readonly configurationOffset: () => number;
    readonly ownershipOffset: () => number;
    readonly dispatch: (event: RootEventBody) => void;
    readonly onTick: () => void;
    readonly onSecond: () => void;
}

/** Starts the background loops. Returns a function that reads the configuration stream at once. */
export const startLoops = (opts: StartLoopsOptions): () => void => {
    let interruptRead = new AbortController();
    let confirms = false;
    const tail = (tailOpts: TailOptions): Effect.Effect<void> => {
        let waitMs = 0;
        const readOnce = async (signal: AbortSignal): Promise<number> => {
            const startedAtMs = opts.clock.atMs();
            const from = tailOpts.nextOffset();
            const isConfiguration = tailOpts.stream === "configuration";
            if (isConfiguration && confirms) {
                confirms = false;
                waitMs = 0;
            }
            const result = await opts.log.read(tailOpts.stream, {
                from,
                limit: READ_LIMIT,
                waitMs,
                signal: isConfiguration ? AbortSignal.any([signal, interruptRead.signal]) : signal,
            });
            if (signal.aborted) {
                return LOG_RETRY_MS;
            }
            if (result.isErr()) {
                waitMs = 0;
                if (isConfiguration && interruptRead.signal.aborted) {
                    interruptRead = new AbortController();
                    return 0;
                }
                opts.metrics.logFailures.inc({ stream: tailOpts.stream });
                tailOpts.onUnavailable();
                return LOG_RETRY_MS;
            }
            tailOpts.onRead({ ...result.value, from, startedAtMs });
            // The first read after a failure returns at once, so that the slices learn soon that the log is back.
            waitMs = LOG_WAIT_MS;
            // A full page means that more is waiting: a starting daemon catches up without pauses.
            const { length } = result.value.records;
            return isConfiguration || length === 0 || length >= READ_LIMIT ? 0 : OWNERSHIP_PAUSE_MS;
        };
        return Effect.promise(readOnce).pipe(
            Effect.flatMap(delayMs => delayMs === 0 ? Effect.void : Effect.sleep(delayMs)),
            Effect.forever,
        );
    };
    const readVmList = async (signal: AbortSignal): Promise<void> => {
        const result = await opts.vmList.read({ signal });
        if (result.isOk() && !signal.aborted) {
            opts.dispatch({ type: "vm-list-read", vmList: result.value });
        }
    };
    const programs: readonly Effect.Effect<unknown>[] = [
        tail({
            stream: "configuration",
            nextOffset: opts.configurationOffset,
            onRead: read => {
                opts.dispatch({ type: "configuration-log-read", read });
            },
            onUnavailable: () => {
                opts.dispatch({ type: "configuration-log-unavailable" });
            },
        }),
        tail({
            stream: "ownership",
            nextOffset: opts.ownershipOffset,
            onRead: read => {
                opts.dispatch({ type: "ownership-log-read", read });
            },
            onUnavailable: () => {
                opts.dispatch({ type: "ownership-log-unavailable" });
            },
        }),
        Effect.promise(readVmList).pipe(Effect.repeat(Schedule.spaced(VM_LIST_INTERVAL_MS))),
        Effect.sync(opts.onTick).pipe(Effect.repeat(Schedule.spaced(TICK_INTERVAL_MS))),
        Effect.sync(opts.onSecond).pipe(Effect.repeat(Schedule.spaced(SECOND_MS))),
    ];
    for (const program of programs) {
        Effect.runFork(program, { signal: opts.signal });
    }
    return () => {
        confirms = true;
        interruptRead.abort();
    };
};
