import type { Socket } from "node:net";

interface DiscardInputOptions {
    readonly onDiscarded: (bytes: number) => void;
}

/**
 * Reads and ignores all further bytes of a connection. It is still read, so that the end of the connection is noticed.
 */
export const discardInput = (socket: Socket, opts: DiscardInputOptions): void => {
    const listeners = socket.rawListeners("data");
    // With a listener of its own, the socket no longer hands its bytes to the parser of Node.js directly.
    socket.on("data", (piece: Buffer) => {
        opts.onDiscarded(piece.length);
    });
    for (const listener of listeners) {
        socket.off("data", listener as (data: Buffer) => void);
    }
    socket.resume();
};
