import type { HeldConnection } from "./held-connection.js";

// A caller that sends or has just been answered keeps its connection.
const MIN_QUIET_MS = 1_000;
const RANKS: Readonly<Record<HeldConnection["phase"], number>> = {
    silent: 0,
    head: 1,
    closing: 2,
    receiving: 3,
    idle: 4,
    busy: 5,
};

/**
 * Selects the connections that are closed when there are too many, at most `count`: first those whose caller has sent the
 * least, and of these the quietest. Connections with a request that was passed on are never closed.
 */
export const selectClosableConnections = <T extends HeldConnection>(
    connections: Iterable<T>,
    opts: { readonly nowMs: number; readonly count: number; },
): readonly T[] =>
    [...connections].filter(({ phase, progressAtMs }) =>
        RANKS[phase] <= RANKS.closing
        || (RANKS[phase] < RANKS.busy && opts.nowMs - progressAtMs >= MIN_QUIET_MS)
    ).sort((a, b) => RANKS[a.phase] - RANKS[b.phase] || a.progressAtMs - b.progressAtMs).slice(0, opts.count);
