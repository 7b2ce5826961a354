import type { IncomingMessage } from "node:http";
import type { PiecePacer } from "./piece-pacer.js";
import type { PooledBody } from "./pooled-body.js";

const MAX_PIECES_PER_WINDOW = 1_000;
const WINDOW_MS = 20;

interface CollectPacedBodyOptions {
    readonly pacer: PiecePacer;
    readonly nowMs: () => number;
    readonly onPiece: (bytes: number) => void;
}

/**
 * Collects the body of a message, and reads tiny pieces at the pace that all connections share. Stops the connection and
 * not the message: a block of 64 KB can hold 10,000 pieces, and a message that is paused keeps each as an object of 200
 * bytes, megabytes on each connection.
 */
export const collectPacedBody = (
    message: IncomingMessage,
    body: PooledBody,
    opts: CollectPacedBodyOptions,
): void => {
    const { pacer, nowMs, onPiece } = opts;
    const { socket } = message;
    let pieces = 0;
    let windowStartMs = nowMs();
    let timer: NodeJS.Timeout | undefined;
    let isHeld = false;
    // Node.js resumes the connection whenever the message has room.
    const hold = (): void => {
        socket.pause();
    };
    const resume = (): void => {
        if (isHeld) {
            isHeld = false;
            clearTimeout(timer);
            socket.off("resume", hold);
            socket.resume();
            pieces = 0;
            windowStartMs = nowMs();
        }
    };
    message.on("data", (piece: Buffer) => {
        body.append(piece);
        onPiece(piece.length);
        pieces += 1;
        if (isHeld || pieces < MAX_PIECES_PER_WINDOW) {
            return;
        }
        const atMs = nowMs();
        if (atMs - windowStartMs >= WINDOW_MS) {
            pieces = 0;
            windowStartMs = atMs;
            return;
        }
        isHeld = true;
        socket.on("resume", hold);
        socket.pause();
        // The rest of the block is read before.
        timer = setTimeout(() => {
            timer = setTimeout(resume, pacer.take(pieces, { nowMs: nowMs() }));
        }, 0);
    });
    message.on("end", resume);
    message.on("close", resume);
};
