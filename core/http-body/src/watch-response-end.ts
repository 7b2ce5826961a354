import type { IncomingMessage } from "node:http";
import { CheckedSocket } from "./checked-socket.js";

interface WatchResponseEndOptions {
    /** Called once the body is complete. */
    readonly onComplete: (end: {
        /** Whether the end of the connection delimits the body, in place of a length or chunks. */
        readonly isConnectionEnd: boolean;
    }) => void;
    /** Called if the body ended before it was complete, or may have. */
    readonly onCut: (reason: string) => void;
}

/**
 * Decides whether a response on a {@link CheckedSocket} is complete when it ends, and calls back once. To be called during
 * the `response` event. A body that the end of the connection delimits is complete if the connection was not reset, which
 * `complete` of the message does not tell.
 */
export const watchResponseEnd = (response: IncomingMessage, opts: WatchResponseEndOptions): void => {
    const { socket } = response;
    let isSettled = false;
    let hasEnded = false;
    let connectionEnd: "not-needed" | "checking" | "in-order" = "not-needed";
    const settle = (report: () => void): void => {
        if (!isSettled) {
            isSettled = true;
            socket.off("end", checkEnd);
            socket.off("error", cutByError);
            report();
        }
    };
    const completeIfEnded = (): void => {
        if (hasEnded && connectionEnd !== "checking") {
            settle(() => {
                opts.onComplete({ isConnectionEnd: connectionEnd === "in-order" });
            });
        }
    };
    const cut = (reason: string): void => {
        settle(() => {
            opts.onCut(reason);
        });
    };
    const checkEnd = (): void => {
        if (response.complete) {
            return;
        }
        if (!(socket instanceof CheckedSocket && socket.writable)) {
            cut("response-end-unchecked");
            return;
        }
        connectionEnd = "checking";
        socket.once("close", hadError => {
            if (hadError) {
                cut("response-cut-by-reset");
                return;
            }
            connectionEnd = "in-order";
            completeIfEnded();
        });
        socket.checkEnd();
    };
    const cutByError = (error: Error): void => {
        if (!response.complete) {
            cut(`response: ${error.message}`);
        }
    };
    // Before the listeners of Node.js, which mark the response as complete.
    socket.prependListener("end", checkEnd);
    socket.prependListener("error", cutByError);
    response.on("error", error => {
        cut(`response: ${error.message}`);
    });
    response.on("close", () => {
        if (!response.complete) {
            cut("response-cut");
        }
    });
    response.on("end", () => {
        if (response.complete) {
            hasEnded = true;
            completeIfEnded();
        }
    });
};
