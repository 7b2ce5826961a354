import type { Clock } from "@marigoldstall/daemon.connections";
import type { LogRead, RootEventBody } from "@marigoldstall/daemon.state";
import type { LogClient } from "@marigoldstall/platform.log-client";
import type { VmListClient } from "@marigoldstall/platform.vm-list-client";
import * as Effect from "effect/Effect";
import * as Schedule from "effect/Schedule";
import type { Metrics } from "./metrics.js";

const VM_LIST_INTERVAL_MS = 1_000;
const TICK_INTERVAL_MS = 100;
const SECOND_TICK_INTERVAL_MS = 1_000;
// A read on a silent connection to the log fails after this time plus the client's limit of 5 s, so that a daemon
// misses records for less than 10 s. Without new records, each daemon reads each stream every 4 s.
const LOG_LONG_POLL_MS = 4_000;
const LOG_RETRY_DELAY_MS = 500;
// Every daemon appends to the ownership stream every 2 s. The delay batches records, which keeps the number of reads
// independent of the size of the fleet. The rights of an owner do not depend on how recent a read is.
const OWNERSHIP_READ_DELAY_MS = 250;
const MAX_RECORDS_PER_READ = 500;

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

/** Starts the background loops. Returns a function that triggers an immediate read of the configuration stream. */
export const startLoops = (opts: StartLoopsOptions): () => void => {
    let interruptRead = new AbortController();
    let confirmationRequested = false;
    const tail = (tailOpts: TailOptions): Effect.Effect<void> => {
        let waitMs = 0;
        const readOnce = async (signal: AbortSignal): Promise<number> => {
            const startedAtMs = opts.clock.atMs();
            const from = tailOpts.nextOffset();
            const isConfiguration = tailOpts.stream === "configuration";
            if (isConfiguration && confirmationRequested) {
                confirmationRequested = false;
                waitMs = 0;
            }
            const result = await opts.log.read(tailOpts.stream, {
                from,
                limit: MAX_RECORDS_PER_READ,
                waitMs,
                signal: isConfiguration ? AbortSignal.any([signal, interruptRead.signal]) : signal,
            });
            if (signal.aborted) {
                return LOG_RETRY_DELAY_MS;
            }
            if (result.isErr()) {
                waitMs = 0;
                if (isConfiguration && interruptRead.signal.aborted) {
                    interruptRead = new AbortController();
                    return 0;
                }
                opts.metrics.logFailures.inc({ stream: tailOpts.stream });
                tailOpts.onUnavailable();
                return LOG_RETRY_DELAY_MS;
            }
            tailOpts.onRead({ ...result.value, from, startedAtMs });
            // The first read after a failure does not wait, so that the reducers soon see that the log is back.
            waitMs = LOG_LONG_POLL_MS;
            // A full page means that more records are available, so a starting daemon catches up without delays.
            const { length } = result.value.records;
            return isConfiguration || length === 0 || length >= MAX_RECORDS_PER_READ ? 0 : OWNERSHIP_READ_DELAY_MS;
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
    const loops: readonly Effect.Effect<unknown>[] = [
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
        Effect.sync(opts.onSecond).pipe(Effect.repeat(Schedule.spaced(SECOND_TICK_INTERVAL_MS))),
    ];
    for (const loop of loops) {
        Effect.runFork(loop, { signal: opts.signal });
    }
    return () => {
        confirmationRequested = true;
        interruptRead.abort();
    };
};
