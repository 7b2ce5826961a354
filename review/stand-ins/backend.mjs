import { createServer } from "node:http";

const SLOTS = 2;
const MAX_QUEUED = 4;
const STATUS_OK = 200;
const STATUS_MISDIRECTED = 421;
const STATUS_UNAVAILABLE = 503;

/**
 * Backend server with two slots and a queue of four. `workMs` is the time that a request takes. `answer`, if it returns
 * true, has taken over the response to a request that has run.
 */
export class Backend {
    running = 0;
    queue = [];

    constructor({ id, service, workMs, onRun = () => undefined, answer = () => false }) {
        Object.assign(this, { id, service, workMs, onRun, answer, born: Date.now() });
        this.server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
            const chunks = [];
            request.on("data", chunk => chunks.push(chunk));
            request.on("end", () => this.#handle(request, response, Buffer.concat(chunks)));
        });
    }

    async listen(host) {
        await new Promise(resolve => {
            this.server.listen(0, host, resolve);
        });
        this.address = `${host}:${this.server.address().port}`;
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }

    get load() {
        return `${this.running},${this.queue.length},${SLOTS},100`;
    }

    #handle(request, response, body) {
        if (request.url === "/health") {
            response.writeHead(STATUS_OK, { "X-Instance-Id": this.id, "X-Backend-Load": this.load }).end();
            return;
        }
        const id = request.headers["x-request-id"] ?? "";
        const echoed = { "X-Request-Id": id, "X-Backend-Load": this.load };
        if (request.headers["x-expect-instance"] !== this.id) {
            response.writeHead(STATUS_MISDIRECTED, { ...echoed, "X-Instance-Id": this.id }).end();
            return;
        }
        if (this.running >= SLOTS && this.queue.length >= MAX_QUEUED) {
            response.writeHead(STATUS_UNAVAILABLE, { ...echoed, "X-Not-Executed": "1" }).end();
            return;
        }
        const run = () => {
            if (response.destroyed) {
                this.#next();
                return;
            }
            this.running += 1;
            this.onRun({ id, backend: this.id, service: this.service, path: request.url, body: body.toString() });
            setTimeout(() => {
                this.running -= 1;
                if (!response.destroyed && !this.answer(request, response)) {
                    const text = `answer of ${this.id} to ${id}`;
                    const headers = {
                        "X-Request-Id": id,
                        "X-Server-Stamp": `stamp.${id}`,
                        "X-Backend-Load": this.load,
                    };
                    response.writeHead(STATUS_OK, { ...headers, "Content-Length": text.length }).end(text);
                }
                this.#next();
            }, this.workMs(request));
        };
        if (this.running < SLOTS) {
            run();
        }
        else {
            this.queue.push(run);
        }
    }

    #next() {
        if (this.running < SLOTS) {
            this.queue.shift()?.();
        }
    }
}
