import type { Socket } from "node:net";
import { Duplex } from "node:stream";

type Callback = (error?: Error | null) => void;

const socketByStream = new WeakMap<Duplex, FaultSocket>();

/** Wraps a TCP socket for the HTTP server, and can drop the bytes of one or both directions. */
export class FaultSocket {
    /** Stream to pass to the HTTP server. */
    readonly stream: Duplex;
    private readonly tcpSocket: Socket;
    private dropsInbound = false;
    private dropsOutbound = false;
    private capturedChunks: Buffer[] | undefined;

    constructor(tcpSocket: Socket) {
        this.tcpSocket = tcpSocket;
        tcpSocket.setNoDelay(true);
        this.stream = new Duplex({
            read: () => {
                tcpSocket.resume();
            },
            write: (chunk: Buffer, encoding, callback) => this.write(chunk, callback),
            writev: (chunks, callback) => this.write(Buffer.concat(chunks.map(({ chunk }) => chunk)), callback),
            final: callback => {
                if (!this.dropsOutbound) {
                    tcpSocket.end();
                }
                callback();
            },
            destroy: (error, callback) => {
                if (!this.dropsInbound && !this.dropsOutbound) {
                    tcpSocket.destroy();
                }
                callback(error);
            },
        });
        socketByStream.set(this.stream, this);
        tcpSocket.on("data", (chunk: Buffer) => {
            if (!this.dropsInbound && !this.stream.push(chunk)) {
                tcpSocket.pause();
            }
        });
        for (const event of ["end", "error", "close"]) {
            tcpSocket.on(event, () => {
                if (!this.dropsInbound) {
                    this.stream.destroy();
                }
            });
        }
    }

    /** Returns the wrapper of a socket that the HTTP server passes to a request or response. */
    static fromStream(stream: Duplex | null): FaultSocket | undefined {
        return stream ? socketByStream.get(stream) : undefined;
    }

    /** Drops all further bytes and the close of the connection in a direction. The TCP connection stays open. */
    silence(direction: "in" | "out" | "both"): void {
        this.dropsInbound ||= direction !== "out";
        this.dropsOutbound ||= direction !== "in";
        if (this.dropsInbound) {
            this.tcpSocket.resume();
        }
    }

    /** Closes the connection even when it is silenced. */
    destroy(): void {
        this.tcpSocket.destroy();
        this.stream.destroy();
    }

    /** Starts to record the written bytes for {@link replayCapture}. */
    startCapture(): void {
        this.capturedChunks = [];
    }

    /** Writes the bytes recorded since {@link startCapture} again. */
    replayCapture(): void {
        const bytes = Buffer.concat(this.capturedChunks ?? []);
        this.capturedChunks = undefined;
        if (!this.dropsOutbound && !this.tcpSocket.destroyed) {
            this.tcpSocket.write(bytes);
        }
    }

    private write(chunk: Buffer, callback: Callback): void {
        this.capturedChunks?.push(chunk);
        if (this.dropsOutbound || this.tcpSocket.destroyed) {
            callback();
            return;
        }
        this.tcpSocket.write(chunk, callback);
    }
}
