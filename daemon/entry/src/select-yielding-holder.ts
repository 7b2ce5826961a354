import type { MemoryHolder } from "./memory-holder.js";

// Bytes of a caller that is served arrive several times a second, also through a link of 7 Mbit/s that others use.
const STALLED_AFTER_MS = 1_000;

interface SelectYieldingHolderOptions<T extends MemoryHolder> {
    readonly nowMs: number;
    /** The holder that needs more memory. */
    readonly growing: T;
    readonly growthBytes: number;
}

const selectLargest = <T>(items: readonly T[], measure: (item: T) => number): T | undefined => {
    let largest: T | undefined;
    for (const item of items) {
        if (largest === undefined || measure(item) > measure(largest)) {
            largest = item;
        }
    }
    return largest;
};

/**
 * Selects who gives way when the memory for callers is exhausted, or undefined if nobody can:
 *
 * 1. of the callers that have made no progress for a second, the one that holds the most for the longest;
 * 2. of the requests that are being received, the one that holds the most for the longest. For another request, only one
 *    that holds at least the mean gives way;
 * 3. for a response, the largest response that is being received.
 *
 * A request that was passed on never gives way.
 */
export const selectYieldingHolder = <T extends MemoryHolder>(
    holders: Iterable<T>,
    opts: SelectYieldingHolderOptions<T>,
): T | undefined => {
    const { nowMs, growing, growthBytes } = opts;
    const all = [...holders];
    const heldBytes = (holder: T): number => holder.heldBytes + (holder === growing ? growthBytes : 0);
    const stalled = all.filter(holder =>
        holder !== growing && holder.heldBytes > 0 && (holder.phase === "receiving" || holder.phase === "writing")
        && nowMs - holder.progressAtMs >= STALLED_AFTER_MS
    );
    const isResponse = growing.phase === "response";
    const meanBytes = all.reduce((bytes, holder) => bytes + heldBytes(holder), 0) / Math.max(1, all.length);
    const receiving = all.filter(holder =>
        holder.phase === "receiving" && (isResponse ? holder.heldBytes > 0 : heldBytes(holder) >= meanBytes)
    );
    return selectLargest(stalled, holder => holder.heldBytes * (nowMs - holder.progressAtMs))
        ?? selectLargest(receiving, holder => heldBytes(holder) * (1 + nowMs - holder.startedAtMs))
        ?? (isResponse ? selectLargest(all.filter(({ phase }) => phase === "response"), heldBytes) : undefined);
};
