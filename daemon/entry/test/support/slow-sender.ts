import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { LISTENER_ADDRESS } from "./listener-address.js";

const HEAD = "GET /a/ HTTP/1.1\r\nHost: parks.example\r\nX-Filler: ";

/** Sends a head that never ends, one byte at a time. */
export class SlowSender {
    received = "";
    isClosed = false;
    private readonly intervalMs: number;

    constructor(intervalMs: number) {
        this.intervalMs = intervalMs;
    }

    async start(): Promise<void> {
        const socket = connect(LISTENER_ADDRESS);
        await once(socket, "connect");
        let sentBytes = 0;
        const timer = setInterval(() => {
            socket.write(HEAD[sentBytes] ?? "x");
            sentBytes += 1;
        }, this.intervalMs);
        socket.on("data", chunk => {
            this.received += chunk.toString("latin1");
        });
        this.watchEnd(socket, timer);
    }

    private watchEnd(socket: Socket, timer: NodeJS.Timeout): void {
        const end = (): void => {
            clearInterval(timer);
            this.isClosed = true;
            socket.destroy();
        };
        // A byte may be sent while the connection closes.
        socket.on("error", end);
        socket.on("end", end);
    }
}
