import type { Readable } from "node:stream";
import type { BodyCollector } from "./body-collector.js";

// Each piece takes some microseconds of the event loop. A connection is read in blocks of 64 KB and up to 32 blocks at
// once, which can hold over 100,000 pieces, so a body in tiny pieces is read at this pace.
const MAX_PIECES_PER_WINDOW = 1_000;
const WINDOW_MS = 20;

interface CollectBodyOptions {
    readonly nowMs?: () => number;
}

/** Collects the body of a message. Reads tiny pieces slowly enough to leave time for other connections. */
export const collectBody = (message: Readable, collector: BodyCollector, opts: CollectBodyOptions = {}): void => {
    const nowMs = opts.nowMs ?? (() => performance.now());
    let pieces = 0;
    let windowStartMs = nowMs();
    message.on("data", (piece: Buffer) => {
        collector.append(piece);
        pieces += 1;
        if (pieces % MAX_PIECES_PER_WINDOW !== 0) {
            return;
        }
        const remainingMs = Math.max(0, windowStartMs + WINDOW_MS - nowMs());
        windowStartMs = nowMs() + remainingMs;
        if (remainingMs > 0) {
            message.pause();
            setTimeout(() => {
                message.resume();
            }, remainingMs);
        }
    });
};
