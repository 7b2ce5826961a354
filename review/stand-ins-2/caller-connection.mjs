import net from "node:net";
import { newId, nowMs } from "./common.mjs";

/** A caller's connection. Requests may be sent behind others; responses are matched in their order. */
export class CallerConnection {
    constructor(vm, opts) {
        this.record = opts.record;
        this.name = opts.name;
        this.requests = [];
        this.buffer = Buffer.alloc(0);
        this.socket = net.connect({ host: vm.host, port: vm.port, noDelay: true });
        this.socket.on("data", bytes => {
            this.buffer = Buffer.concat([this.buffer, bytes]);
            this.parse();
        });
        this.socket.on("error", error => this.record(`${this.name}: connection error ${error.code}`));
        const close = how => {
            if (this.closedAtMs === undefined) {
                this.closedAtMs = nowMs();
                this.record(`${this.name}: ${how}, ${this.requests.filter(one => !one.isAnswered).length} unanswered`);
                this.requests.forEach(one => one.resolve());
            }
        };
        this.socket.on("end", () => close("the VM has closed the connection"));
        this.socket.on("close", () => close("connection closed"));
    }

    connected() {
        return new Promise((resolve, reject) => this.socket.once("connect", resolve).once("error", reject));
    }

    send(opts) {
        const { method = "GET", path: target, host, deadlineMs, body } = opts;
        const id = newId();
        const request = { id, target, sentAtMs: nowMs(), deadlineMs, isAnswered: false, status: undefined };
        request.done = new Promise(resolve => {
            request.resolve = resolve;
        });
        this.requests.push(request);
        const length = body === undefined ? "" : `Content-Length: ${body.length}\r\n`;
        this.socket.write(
            `${method} ${target} HTTP/1.1\r\nHost: ${host}\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: ${deadlineMs}\r\n`
                + `${length}\r\n`,
        );
        if (body !== undefined) {
            this.socket.write(body);
        }
        this.record(`${this.name}: sends ${method} ${target} id ${id}`);
        return request;
    }

    parse() {
        for (;;) {
            const headEnd = this.buffer.indexOf("\r\n\r\n");
            const request = this.requests.find(one => !one.isAnswered);
            if (headEnd < 0) {
                return;
            }
            const [statusLine, ...lines] = this.buffer.toString("latin1", 0, headEnd).split("\r\n");
            const headers = Object.fromEntries(lines.map(line => {
                const colon = line.indexOf(":");
                return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
            }));
            const length = Number(headers["content-length"] ?? 0);
            if (this.buffer.length < headEnd + 4 + length) {
                return;
            }
            const body = this.buffer.subarray(headEnd + 4, headEnd + 4 + length);
            this.buffer = this.buffer.subarray(headEnd + 4 + length);
            const status = Number(statusLine.split(" ")[1]);
            if (request === undefined) {
                this.record(`${this.name}: gets ${status}, but no request is waiting`);
                continue;
            }
            Object.assign(request, { isAnswered: true, status, headers, body, answeredAtMs: nowMs() });
            this.record(`${this.name}: gets ${status} for ${request.id} (connection: ${headers.connection ?? "none"})`);
            request.resolve();
        }
    }

    close() {
        this.socket.destroy();
    }
}
