import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { classifyInputError } from "./classify-input-error.js";
import type { InputFailure } from "./input-failure.js";

interface WatchCallerInputOptions {
    /** What the connection is waiting for, as far as its caller is concerned. */
    readonly expects: (socket: Socket) => "request" | "head" | "body" | "reading" | "nothing";
    readonly onIdle: (socket: Socket) => void;
    /** The caller reads nothing of its response. */
    readonly onUnread: (socket: Socket) => void;
    readonly onFailed: (socket: Socket, failure: InputFailure) => void;
}

const STATUS_REQUEST_TIMEOUT = 408;
const STATUS_NOT_IMPLEMENTED = 501;

const handleError = (
    socket: Socket,
    opts: { readonly error: NodeJS.ErrnoException; readonly onFailed: WatchCallerInputOptions["onFailed"]; },
): void => {
    const { error, onFailed } = opts;
    if (error.code === "HPE_INVALID_EOF_STATE") {
        // The caller ended its side within a request.
        socket.end();
        return;
    }
    const failure = classifyInputError(error);
    if (failure === undefined) {
        socket.destroy();
        return;
    }
    // Node.js counts the time for the first head from the start of the connection.
    if (socket.bytesRead > 0) {
        onFailed(socket, failure);
    }
};

// Node.js has taken its parser and its listeners off the socket.
const replaceListeners = (socket: Socket): void => {
    socket.on("error", () => {
        socket.destroy();
    });
    socket.on("end", () => {
        socket.end();
    });
};

/**
 * Reports input of callers that is no request, or comes too slowly. Node.js would write a status of its own into the
 * place of the next response, or close the connection, whatever requests are in progress.
 */
export const watchCallerInput = (server: Server, opts: WatchCallerInputOptions): void => {
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        handleError(socket as Socket, { error, onFailed: opts.onFailed });
    });
    server.on("connect", (message: IncomingMessage, duplex) => {
        const socket = duplex as Socket;
        replaceListeners(socket);
        opts.onFailed(socket, {
            kind: "caller-input-method-unsupported",
            statusCode: STATUS_NOT_IMPLEMENTED,
            problem: message.method ?? "",
        });
    });
    server.on("timeout", (socket: Socket) => {
        const expected = opts.expects(socket);
        if (expected === "request") {
            opts.onIdle(socket);
            return;
        }
        if (expected === "nothing") {
            return;
        }
        if (expected === "reading") {
            opts.onUnread(socket);
            return;
        }
        opts.onFailed(socket, {
            kind: `caller-input-${expected}-timeout`,
            statusCode: STATUS_REQUEST_TIMEOUT,
            problem: `no bytes of the ${expected} within the idle timeout`,
        });
    });
};
