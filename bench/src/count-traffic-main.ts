// Loaded into a daemon with --import: writes the bytes and HTTP messages of its TCP sockets by port to standard error.
import { subscribe } from "node:diagnostics_channel";
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

const INTERVAL_MS = 500;

const totals = new Map<string, { read: number; written: number; messages: number; }>();
const open = new Map<Socket, string>();

const totalOf = (key: string) => {
    const total = totals.get(key) ?? { read: 0, written: 0, messages: 0 };
    totals.set(key, total);
    return total;
};

const watch = (socket: Socket, key: string): void => {
    open.set(socket, key);
    socket.once("close", () => {
        const total = totalOf(key);
        total.read += socket.bytesRead;
        total.written += socket.bytesWritten;
        open.delete(socket);
    });
};

subscribe("net.client.socket", message => {
    const { socket } = message as { readonly socket: Socket; };
    socket.once("connect", () => watch(socket, `to:${socket.remotePort}`));
});
subscribe("net.server.socket", message => {
    const { socket } = message as { readonly socket: Socket; };
    watch(socket, `at:${socket.localPort}`);
});
subscribe("http.client.request.start", message => {
    const { request } = message as { readonly request: ClientRequest; };
    totalOf(`to:${String(request.getHeader("host")).split(":").at(-1)}`).messages += 1;
});
subscribe("http.server.request.start", message => {
    const { socket } = message as { readonly socket: Socket; };
    totalOf(`at:${socket.localPort}`).messages += 1;
});

setInterval(() => {
    const sums = new Map([...totals].map(([key, total]) => [key, { ...total }]));
    for (const [socket, key] of open) {
        const sum = sums.get(key) ?? { read: 0, written: 0, messages: 0 };
        sum.read += socket.bytesRead;
        sum.written += socket.bytesWritten;
        sums.set(key, sum);
    }
    const sample = { atMs: performance.now(), ports: Object.fromEntries(sums) };
    process.stderr.write(`traffic ${JSON.stringify(sample)}\n`);
}, INTERVAL_MS).unref();
