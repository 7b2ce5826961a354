// Preloaded into a daemon with --import. Periodically writes the bytes and HTTP requests of its TCP sockets to standard
// error, grouped by port.
import { subscribe } from "node:diagnostics_channel";
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

const SAMPLE_INTERVAL_MS = 500;

const totals = new Map<string, { read: number; written: number; messages: number; }>();
const openSockets = new Map<Socket, string>();

const getTotal = (key: string) => {
    const total = totals.get(key) ?? { read: 0, written: 0, messages: 0 };
    totals.set(key, total);
    return total;
};

const trackSocket = (socket: Socket, key: string): void => {
    openSockets.set(socket, key);
    socket.once("close", () => {
        const total = getTotal(key);
        total.read += socket.bytesRead;
        total.written += socket.bytesWritten;
        openSockets.delete(socket);
    });
};

subscribe("net.client.socket", message => {
    const { socket } = message as { readonly socket: Socket; };
    socket.once("connect", () => trackSocket(socket, `to:${socket.remotePort}`));
});
subscribe("net.server.socket", message => {
    const { socket } = message as { readonly socket: Socket; };
    trackSocket(socket, `at:${socket.localPort}`);
});
subscribe("http.client.request.start", message => {
    const { request } = message as { readonly request: ClientRequest; };
    getTotal(`to:${String(request.getHeader("host")).split(":").at(-1)}`).messages += 1;
});
subscribe("http.server.request.start", message => {
    const { socket } = message as { readonly socket: Socket; };
    getTotal(`at:${socket.localPort}`).messages += 1;
});

setInterval(() => {
    const sums = new Map([...totals].map(([key, total]) => [key, { ...total }]));
    for (const [socket, key] of openSockets) {
        const sum = sums.get(key) ?? { read: 0, written: 0, messages: 0 };
        sum.read += socket.bytesRead;
        sum.written += socket.bytesWritten;
        sums.set(key, sum);
    }
    const sample = { atMs: performance.now(), ports: Object.fromEntries(sums) };
    process.stderr.write(`traffic ${JSON.stringify(sample)}\n`);
}, SAMPLE_INTERVAL_MS).unref();
