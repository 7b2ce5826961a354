import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { KeyedTopic } from "./keyed-topic.js";
import type { PublishedService } from "./published-service.js";
import type { RegisteredServer } from "./registered-server.js";
import type { StoreFault } from "./store-fault.js";

const LENGTH_BYTES = 4;
const CONFIGURATION_TOPIC = "keyed.op";
const REGISTRATIONS_TOPIC = "keyed.servers";
const VERSION_DIGITS = 8;
const HEXADECIMAL = 16;

/** In-memory stand-in for the platform's store, with fault injection. */
export class StoreStandIn {
    fault: StoreFault = { kind: "none" };
    /** Number of calls received, including those that a fault affected. */
    callCount = 0;
    private readonly topics = new Map<string, KeyedTopic>();
    private readonly server: Server;

    constructor() {
        this.server = createServer((request, response) => {
            const chunks: Buffer[] = [];
            request.on("data", (chunk: Buffer) => {
                chunks.push(chunk);
            });
            request.on("end", () => {
                this.handleRequest(request, response, Buffer.concat(chunks));
            });
        });
    }

    async listen(host: string): Promise<string> {
        await new Promise<void>(resolve => {
            this.server.listen(0, host, resolve);
        });
        return `${host}:${(this.server.address() as AddressInfo).port}`;
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Writes a configuration version to the configuration topic, as an operator does. */
    publish(published: PublishedService): void {
        const { host, service, version } = published;
        const rule = (name: string, kind: string): unknown => ({
            name,
            routeType: kind,
            targetLatency: "400ms",
            priority: 2,
            match: { pathPrefix: `/${name}/` },
            action: { service, timeout: "1500ms", maxAttempts: 2 },
        });
        const configuration = {
            version: version.toString(HEXADECIMAL).padStart(VERSION_DIGITS, "0"),
            limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeout: "3s", idleTimeout: "15s" },
            listeners: [{ host, rules: [rule("read", "safe"), rule("write", "unsafe")] }],
            clusters: [{ name: service, healthPath: "/health", maxConns: 220 }],
        };
        this.topic(CONFIGURATION_TOPIC).put("config", JSON.stringify(configuration));
    }

    /** Writes the registration of a backend server to the registrations topic, as the server does. */
    register(server: RegisteredServer): void {
        const entry = {
            service: server.service,
            address: server.address,
            zone: server.availabilityZone,
            version: "v1",
            capacity: server.slots,
            state: server.isDraining ? "draining" : "ready",
            warmupLeft: "0ms",
            seq: this.callCount,
        };
        this.topic(REGISTRATIONS_TOPIC).put(server.instanceId, JSON.stringify(entry));
    }

    /** Discards the records of the registrations topic. The newest registration of each server can still be listed. */
    truncateRegistrations(): void {
        this.topic(REGISTRATIONS_TOPIC).truncate();
    }

    private topic(name: string): KeyedTopic {
        let topic = this.topics.get(name);
        if (topic === undefined) {
            topic = new KeyedTopic();
            this.topics.set(name, topic);
        }
        return topic;
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
        this.callCount += 1;
        const { kind, callers, delayMs } = this.fault;
        const isAffected = callers === undefined || callers.includes(request.socket.remoteAddress ?? "");
        const url = new URL(request.url ?? "/", "http://store");
        if (!isAffected || kind === "none") {
            this.respond(url, body, response);
        }
        else if (kind === "busy") {
            response.writeHead(503).end();
        }
        else if (kind === "reset") {
            request.socket.resetAndDestroy();
        }
        else if (kind === "slow") {
            setTimeout(() => {
                this.respond(url, body, response);
            }, delayMs);
        }
        else if (kind === "answers-lost" && url.pathname === "/api/log-append") {
            this.append(url, body);
            request.socket.destroy();
        }
        else if (kind === "answers-lost") {
            this.respond(url, body, response);
        }
    }

    private append(url: URL, body: Buffer): unknown {
        const topic = this.topic(url.searchParams.get("topic") ?? "");
        const offset = topic.endOffset;
        for (let position = 0; position < body.length;) {
            const end = position + LENGTH_BYTES + body.readUInt32BE(position);
            topic.append(body.subarray(position + LENGTH_BYTES, end));
            position = end;
        }
        return { offset, end: topic.endOffset };
    }

    private respond(url: URL, body: Buffer, response: ServerResponse): void {
        const topic = this.topic(url.searchParams.get("topic") ?? "");
        switch (url.pathname) {
            case "/api/log-append":
                response.end(JSON.stringify(this.append(url, body)));
                return;
            case "/api/log-newest":
                response.end(JSON.stringify(topic.listNewest()));
                return;
            case "/api/log-read": {
                const records = topic.read(Number(url.searchParams.get("from")));
                if (records === undefined) {
                    response.writeHead(410).end("{}");
                    return;
                }
                response.end(records);
                return;
            }
            default:
                response.writeHead(404).end();
        }
    }
}
