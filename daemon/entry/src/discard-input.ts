import type { Socket } from "node:net";

/**
 * Reads and ignores all further bytes of a connection. It is still read, so that the end of the connection is noticed.
 */
export const discardInput = (socket: Socket): void => {
    const listeners = socket.rawListeners("data");
    // With a listener of its own, the socket no longer hands its bytes to the parser of Node.js directly.
    socket.on("data", () => undefined);
    for (const listener of listeners) {
        socket.off("data", listener as (data: Buffer) => void);
    }
    socket.resume();
};
