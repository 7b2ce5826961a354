import { connect, type Socket } from "node:net";

interface UntrustedCallerOptions {
    readonly host: string;
    readonly port: number;
    /** Text before the repeated part. */
    readonly head: string;
    readonly repeated?: Buffer;
    /** Bytes of the repeated part that are sent. Default: none. */
    readonly repeatedBytes?: number;
    /** Bytes that are handed to the system at once. Default: the whole of `repeated`. */
    readonly pieceBytes?: number;
    /** Whether what the other side sends is read. Default: true. */
    readonly isReading?: boolean;
}

/** Sends a head and a repeated text on a raw connection, and keeps it open. */
export class UntrustedCaller {
    private readonly opts: UntrustedCallerOptions;
    private socket: Socket | undefined;

    constructor(opts: UntrustedCallerOptions) {
        this.opts = opts;
    }

    /** Resolves once everything was handed to the system, or the connection has ended. */
    async run(): Promise<void> {
        const { host, port, head, repeated = Buffer.alloc(0), repeatedBytes = 0, isReading = true } = this.opts;
        const pieceBytes = this.opts.pieceBytes ?? repeated.length;
        const socket = connect({ host, port, noDelay: true });
        this.socket = socket;
        let resolveClosed = (): void => undefined;
        const closed = new Promise<void>(resolve => {
            resolveClosed = resolve;
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            resolveClosed();
        });
        if (isReading) {
            socket.resume();
        }
        const write = (bytes: Buffer): Promise<void> =>
            new Promise(resolve => {
                socket.write(bytes, () => {
                    resolve();
                });
            });
        await Promise.race([write(Buffer.from(head, "latin1")), closed]);
        for (let sentBytes = 0; sentBytes < repeatedBytes && !socket.destroyed;) {
            const start = sentBytes % repeated.length;
            const end = Math.min(start + pieceBytes, repeated.length, start + repeatedBytes - sentBytes);
            await Promise.race([write(repeated.subarray(start, end)), closed]);
            sentBytes += end - start;
        }
    }

    close(): void {
        this.socket?.destroy();
    }
}
