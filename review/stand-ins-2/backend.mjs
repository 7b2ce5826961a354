import http from "node:http";
import { freePorts, newHost, newId, nowMs } from "./common.mjs";

/** A backend server: two slots, a short queue, and the headers of the platform's pages. Records what it runs. */
export class Backend {
    constructor(opts) {
        this.store = opts.store;
        this.service = opts.service;
        this.zone = opts.zone;
        this.record = opts.record;
        /** Gets `{ request, response, body, id, run }` once the request's work begins. Default: `answer`. */
        this.onWork = opts.onWork;
        this.workMs = opts.workMs ?? (() => 50);
        this.slots = 2;
        this.queueLimit = 4;
        this.id = `i-${newId().slice(0, 8)}`;
        this.born = Date.now();
        this.seq = 0;
        this.running = 0;
        this.waiting = [];
        this.runs = [];
        this.host = newHost();
        this.server = http.createServer((request, response) => this.handle(request, response));
        this.server.keepAliveTimeout = 10_000;
    }

    async start() {
        const [port] = await freePorts(this.host, 1);
        this.address = `${this.host}:${port}`;
        await new Promise(resolve => this.server.listen(port, this.host, resolve));
        this.beat();
        this.timer = setInterval(() => this.beat(), 1_500);
    }

    beat() {
        this.seq += 1;
        this.store.put(
            "keyed.servers",
            this.id,
            JSON.stringify({
                service: this.service,
                address: this.address,
                zone: this.zone,
                version: "v1",
                capacity: this.slots,
                state: "ready",
                warmupLeft: "0ms",
                seq: this.seq,
                born: this.born,
            }),
        );
    }

    headers(id) {
        return {
            ...id === undefined ? {} : { "X-Request-Id": id },
            "X-Backend-Load": `${this.running},${this.waiting.length},${this.slots},100`,
            "Keep-Alive": "timeout=10",
        };
    }

    handle(request, response) {
        if (request.url === "/health") {
            request.resume();
            response.writeHead(200, { ...this.headers(), "X-Instance-Id": this.id, "Content-Length": 0 });
            response.end();
            return;
        }
        const id = request.headers["x-request-id"];
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        request.on("end", () => {
            const refuse = status => {
                response.writeHead(status, { ...this.headers(id), "X-Not-Executed": "1", "Content-Length": 0 });
                response.end();
            };
            const expected = request.headers["x-expect-instance"];
            if (expected !== undefined && expected !== this.id) {
                refuse(421);
            }
            else if (id === undefined) {
                refuse(400);
            }
            else if (this.running >= this.slots && this.waiting.length >= this.queueLimit) {
                refuse(503);
            }
            else {
                const work = { request, response, id, body: Buffer.concat(chunks) };
                if (this.running < this.slots) {
                    this.work(work);
                }
                else {
                    this.waiting.push(work);
                }
            }
        });
    }

    work(work) {
        this.running += 1;
        const { request, response, id, body } = work;
        const run = { id, method: request.method, path: request.url, body, beganAtMs: nowMs(), endedAtMs: undefined };
        this.runs.push(run);
        this.record(`ran: ${this.service} ${this.id} begins ${request.method} ${request.url} id ${id}`);
        const end = () => {
            if (run.endedAtMs === undefined) {
                run.endedAtMs = nowMs();
                this.running -= 1;
                const next = this.waiting.shift();
                if (next !== undefined) {
                    this.work(next);
                }
            }
        };
        response.on("close", end);
        setTimeout(() => {
            if (run.endedAtMs !== undefined) {
                this.record(`ran: ${this.service} ${this.id} drops ${id}, its connection has closed`);
                return;
            }
            (this.onWork ?? (one => this.answer(one)))({ ...work, run, backend: this });
            this.record(`ran: ${this.service} ${this.id} answers ${id}`);
            end();
        }, this.workMs(request));
    }

    stamp() {
        return `3e1b.07.${newId().slice(0, 3)}.600.0.${newId().slice(0, 8)}`;
    }

    answer({ response, id }, bytes = 400) {
        const body = Buffer.alloc(bytes, `body of ${id} `);
        response.writeHead(200, { ...this.headers(id), "X-Server-Stamp": this.stamp(), "Content-Length": body.length });
        response.end(body);
    }

    stop() {
        clearInterval(this.timer);
        this.server.closeAllConnections();
        this.server.close();
    }
}
