import { createServer } from "node:http";

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const STATUS_OK = 200;
const STATUS_GONE = 410;
const STATUS_NOT_FOUND = 404;

/** Keyed topic of the platform's store: a log whose newest record of each key is retained. */
class KeyedTopic {
    records = [];

    append(content) {
        this.records.push(content);
        return this.records.length - 1;
    }

    put(key, value) {
        const keyBytes = Buffer.from(key);
        return this.append(Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]));
    }

    read(from) {
        if (from > this.records.length) {
            return undefined;
        }
        const head = Buffer.alloc(2 * OFFSET_BYTES);
        head.writeBigUInt64BE(BigInt(this.records.length), 0);
        const records = this.records.slice(from).flatMap(content => {
            const length = Buffer.alloc(LENGTH_BYTES);
            length.writeUInt32BE(content.length);
            return [length, content];
        });
        return Buffer.concat([head, ...records]);
    }

    listNewest() {
        const newest = new Map();
        this.records.forEach((content, offset) => {
            const key = content.toString("utf8", 1, 1 + content[0]);
            const value = content.subarray(1 + content[0]);
            newest.delete(key);
            if (value.length > 0) {
                newest.set(key, { key, value: value.toString("base64"), offset });
            }
        });
        return { items: [...newest.values()], hasMore: false, end: this.records.length };
    }
}

/** The platform's store, as far as the entry program uses it. */
export class Store {
    topics = new Map();

    constructor() {
        this.server = createServer((request, response) => {
            const chunks = [];
            request.on("data", chunk => chunks.push(chunk));
            request.on("end", () => {
                this.#answer(new URL(request.url, "http://store"), Buffer.concat(chunks), response);
            });
        });
    }

    topic(name) {
        const topic = this.topics.get(name) ?? new KeyedTopic();
        this.topics.set(name, topic);
        return topic;
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

    /** Writes a configuration, as the operator does. Each route is `{ host, prefix, kind, service, timeoutMs, ... }`. */
    publish(version, routes, services) {
        const hosts = [...new Set(routes.map(route => route.host))];
        const configuration = {
            version: version.toString(16).padStart(8, "0"),
            limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeout: "3000ms", idleTimeout: "15000ms" },
            listeners: hosts.map(host => ({
                host,
                rules: routes.filter(route => route.host === host).map(route => ({
                    name: `r-${route.prefix.replaceAll("/", "")}`,
                    routeType: route.kind,
                    targetLatency: `${route.targetMs}ms`,
                    priority: 2,
                    match: { pathPrefix: route.prefix },
                    action: { service: route.service, timeout: `${route.timeoutMs}ms`, maxAttempts: 2 },
                })),
            })),
            clusters: services.map(name => ({
                name,
                healthPath: "/health",
                maxConns: 220,
                protocol: "h1",
                tls: false,
            })),
        };
        this.topic("keyed.op").put("config", JSON.stringify(configuration));
    }

    /** Writes the entry of a backend server, as the server does. */
    register(id, fields) {
        const entry = {
            service: fields.service,
            address: fields.address,
            zone: fields.zone ?? "bezigrad",
            version: "v1",
            capacity: 2,
            state: "ready",
            warmupLeft: "0ms",
            seq: 1,
            born: fields.born,
            ...fields.overrides,
        };
        this.topic("keyed.servers").put(id, JSON.stringify(entry));
    }

    /** Whether the newest entry of a backend server is not one that the server has written. */
    isForeign(id) {
        const newest = this.topic("keyed.servers").listNewest().items.find(({ key }) => key === id);
        return newest === undefined || !("version" in JSON.parse(Buffer.from(newest.value, "base64").toString()));
    }

    #answer(url, body, response) {
        const topic = this.topic(url.searchParams.get("topic") ?? "");
        const json = (status, value) => {
            response.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(value));
        };
        if (url.pathname === "/api/log-append") {
            const offset = topic.records.length;
            for (let position = 0; position < body.length;) {
                const end = position + LENGTH_BYTES + body.readUInt32BE(position);
                topic.append(body.subarray(position + LENGTH_BYTES, end));
                position = end;
            }
            json(STATUS_OK, { offset, end: topic.records.length });
        }
        else if (url.pathname === "/api/log-newest") {
            json(STATUS_OK, topic.listNewest());
        }
        else if (url.pathname === "/api/log-read") {
            const records = topic.read(Number(url.searchParams.get("from")));
            if (records === undefined) {
                json(STATUS_GONE, { first: 0 });
            }
            else {
                response.writeHead(STATUS_OK).end(records);
            }
        }
        else {
            json(STATUS_NOT_FOUND, {});
        }
    }
}
