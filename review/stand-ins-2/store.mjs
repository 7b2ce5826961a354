import http from "node:http";
import { freePorts, newHost } from "./common.mjs";

/** The platform's store with its keyed topics. */
export class Store {
    constructor() {
        this.topics = new Map();
        this.host = newHost();
        this.server = http.createServer((request, response) => this.handle(request, response));
        this.server.keepAliveTimeout = 60_000;
    }

    async start() {
        const [port] = await freePorts(this.host, 1);
        this.address = `${this.host}:${port}`;
        await new Promise(resolve => this.server.listen(port, this.host, resolve));
    }

    topic(name) {
        if (!this.topics.has(name)) {
            this.topics.set(name, []);
        }
        return this.topics.get(name);
    }

    put(topic, key, value) {
        this.topic(topic).push({ key, value: value === undefined ? Buffer.alloc(0) : Buffer.from(value) });
    }

    handle(request, response) {
        const url = new URL(request.url, "http://store");
        const records = this.topic(url.searchParams.get("topic") ?? "");
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const json = value => {
                const body = Buffer.from(JSON.stringify(value));
                response.writeHead(200, { "Content-Type": "application/json", "Content-Length": body.length });
                response.end(body);
            };
            if (url.pathname === "/api/log-newest") {
                const newest = new Map();
                records.forEach(({ key, value }, offset) => newest.set(key, { key, value, offset }));
                const items = [...newest.values()].filter(({ value }) => value.length > 0)
                    .map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
                json({ items, hasMore: false, end: records.length });
            }
            else if (url.pathname === "/api/log-read") {
                const from = Number(url.searchParams.get("from"));
                if (from > records.length) {
                    response.writeHead(410, { "Content-Type": "application/json" });
                    response.end(JSON.stringify({ first: 0 }));
                    return;
                }
                const head = Buffer.alloc(16);
                head.writeBigUInt64BE(BigInt(records.length), 0);
                const parts = records.slice(from).map(({ key, value }) => {
                    const keyBytes = Buffer.from(key);
                    const record = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
                    const length = Buffer.alloc(4);
                    length.writeUInt32BE(record.length);
                    return Buffer.concat([length, record]);
                });
                const body = Buffer.concat([head, ...parts]);
                response.writeHead(200, { "Content-Length": body.length });
                response.end(body);
            }
            else if (url.pathname === "/api/log-append") {
                const body = Buffer.concat(chunks);
                const offset = records.length;
                for (let at = 0; at < body.length;) {
                    const end = at + 4 + body.readUInt32BE(at);
                    const keyLength = body[at + 4];
                    const key = body.toString("utf8", at + 5, at + 5 + keyLength);
                    records.push({ key, value: Buffer.from(body.subarray(at + 5 + keyLength, end)) });
                    at = end;
                }
                json({ offset, end: records.length });
            }
            else {
                response.writeHead(404, { "Content-Length": 0 });
                response.end();
            }
        });
    }
}
