import type { Socket } from "node:net";
import { Duplex } from "node:stream";

type Callback = (error?: Error | null) => void;

const byStream = new WeakMap<Duplex, FaultSocket>();

/** Connection between the TCP socket and the HTTP server that can lose bytes in one or both directions. */
export class FaultSocket {
    /** The connection as the HTTP server sees it. */
    readonly stream: Duplex;
    private readonly raw: Socket;
    private silentIn = false;
    private silentOut = false;
    private captured: Buffer[] | undefined;

    constructor(raw: Socket) {
        this.raw = raw;
        raw.setNoDelay(true);
        this.stream = new Duplex({
            read: () => {
                raw.resume();
            },
            write: (chunk: Buffer, encoding, callback) => this.write(chunk, callback),
            writev: (chunks, callback) => this.write(Buffer.concat(chunks.map(({ chunk }) => chunk)), callback),
            final: callback => {
                if (!this.silentOut) {
                    raw.end();
                }
                callback();
            },
            destroy: (error, callback) => {
                if (!this.silentIn && !this.silentOut) {
                    raw.destroy();
                }
                callback(error);
            },
        });
        byStream.set(this.stream, this);
        raw.on("data", (chunk: Buffer) => {
            if (!this.silentIn && !this.stream.push(chunk)) {
                raw.pause();
            }
        });
        for (const event of ["end", "error", "close"]) {
            raw.on(event, () => {
                if (!this.silentIn) {
                    this.stream.destroy();
                }
            });
        }
    }

    /** Finds the connection of a response's socket. */
    static of(stream: Duplex | null): FaultSocket | undefined {
        return stream ? byStream.get(stream) : undefined;
    }

    /** From now on bytes and the closing of the connection are lost, while the connection stays open. */
    silence(direction: "in" | "out" | "both"): void {
        this.silentIn ||= direction !== "out";
        this.silentOut ||= direction !== "in";
        if (this.silentIn) {
            this.raw.resume();
        }
    }

    /** Closes the connection even when it is silent. */
    destroy(): void {
        this.raw.destroy();
        this.stream.destroy();
    }

    /** Starts to keep the bytes written, for {@link repeatCaptured}. */
    capture(): void {
        this.captured = [];
    }

    /** Writes the bytes kept since {@link capture} once more. */
    repeatCaptured(): void {
        const bytes = Buffer.concat(this.captured ?? []);
        this.captured = undefined;
        if (!this.silentOut && !this.raw.destroyed) {
            this.raw.write(bytes);
        }
    }

    private write(chunk: Buffer, callback: Callback): void {
        this.captured?.push(chunk);
        if (this.silentOut || this.raw.destroyed) {
            callback();
            return;
        }
        this.raw.write(chunk, callback);
    }
}
