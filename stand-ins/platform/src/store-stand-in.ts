import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { KeyedTopic } from "./keyed-topic.js";
import type { NewestPage } from "./newest-page.js";
import type { PublishedService } from "./published-service.js";
import type { RegisteredServer } from "./registered-server.js";
import type { StoreCopy } from "./store-copy.js";
import type { StoreFault } from "./store-fault.js";

const LENGTH_BYTES = 4;
const CONFIGURATION_TOPIC = "keyed.op";
const CONFIGURATION_KEY = "config";
const REGISTRATIONS_TOPIC = "keyed.servers";
const SERVICE_WITHOUT_SERVERS = "none";
const APPEND_PATH = "/api/log-append";
const VERSION_DIGITS = 8;
const DEFAULT_MAX_BODY_BYTES = 65_536;
const HEXADECIMAL = 16;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_GONE = 410;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;

/** Answer to a call, with the era in which the call was processed. */
interface StoreAnswer {
    readonly status: number;
    readonly era: number;
    readonly body: string | Buffer;
}

/**
 * In-memory stand-in for the platform's store, with fault injection. It can be restored from a copy: everything written
 * since is lost, offsets go back, and the era rises by one.
 */
export class StoreStandIn {
    fault: StoreFault = { kind: "none" };
    /** Number of calls received, including those that a fault affected. */
    callCount = 0;
    /** Maximum number of keys in one answer to `log-newest`. */
    newestPageSize = 500;
    /** Called with each page of `log-newest`, before it is sent. */
    onNewestListed: (page: NewestPage) => void = () => undefined;
    private topics = new Map<string, KeyedTopic>();
    private currentEra = 1;
    /** Time of the latest write of each registration. */
    private readonly registeredAtMs = new Map<string, number>();
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

    /** Number of restores plus one, which all answers state in the header `Store-Era`. */
    get era(): number {
        return this.currentEra;
    }

    /** Version of the configuration that the store holds, or undefined if it holds none. */
    get configurationVersion(): number | undefined {
        const text = this.topic(CONFIGURATION_TOPIC).get(CONFIGURATION_KEY);
        return text === undefined
            ? undefined
            : parseInt((JSON.parse(text) as { readonly version: string; }).version, HEXADECIMAL);
    }

    /** Whether the store holds a registration of the server that is not draining. */
    isReady(instanceId: string): boolean {
        const text = this.topic(REGISTRATIONS_TOPIC).get(instanceId);
        return text !== undefined && (JSON.parse(text) as { readonly state: string; }).state === "ready";
    }

    /** Returns a copy of all topics, from which the store can be restored later. */
    takeCopy(): StoreCopy {
        return new Map([...this.topics].map(([name, topic]) => [name, topic.clone()]));
    }

    /** Replaces all topics by those of a copy. Records that were appended since are lost. */
    restore(copy: StoreCopy): void {
        this.topics = new Map([...copy].map(([name, topic]) => [name, topic.clone()]));
        this.currentEra += 1;
        // A registration of the copy expires when its server stays silent from now on.
        this.registeredAtMs.clear();
        for (const instanceId of this.topic(REGISTRATIONS_TOPIC).keys) {
            this.registeredAtMs.set(instanceId, performance.now());
        }
    }

    /** Writes the text of a registration as it is, as another writer does. */
    putRegistration(instanceId: string, text: string): void {
        this.topic(REGISTRATIONS_TOPIC).put(instanceId, text);
    }

    /** Writes that a zone is evacuated, or that it is back in service, as an operator does. */
    evacuate(zone: string, isEvacuated: boolean): void {
        this.topic(CONFIGURATION_TOPIC).put(`evacuate/${zone}`, isEvacuated ? "1" : "");
    }

    /** Writes a configuration version to the configuration topic, as an operator does. */
    publish(published: PublishedService): void {
        const { host, service, version, maxBodyBytes = DEFAULT_MAX_BODY_BYTES } = published;
        const rule = (name: string, opts: { readonly kind: string; readonly destination: string; }): unknown => ({
            name,
            routeType: opts.kind,
            targetLatency: "400ms",
            priority: 2,
            match: { pathPrefix: `/${name}/` },
            action: { service: opts.destination, timeout: "1500ms", maxAttempts: 2 },
        });
        const configuration = {
            version: version.toString(HEXADECIMAL).padStart(VERSION_DIGITS, "0"),
            limits: { maxHeaderBytes: 16_384, maxBodyBytes, headerTimeout: "3s", idleTimeout: "15s" },
            listeners: [{
                host,
                rules: [
                    rule("read", { kind: "safe", destination: service }),
                    rule("write", { kind: "unsafe", destination: service }),
                    rule(`version-${version}`, { kind: "safe", destination: SERVICE_WITHOUT_SERVERS }),
                ],
            }],
            clusters: [service, SERVICE_WITHOUT_SERVERS].map(name => ({ name, healthPath: "/health", maxConns: 220 })),
        };
        this.topic(CONFIGURATION_TOPIC).put(CONFIGURATION_KEY, JSON.stringify(configuration));
    }

    /**
     * Writes the registration of a backend server to the registrations topic, as the server does. An unchanged
     * registration is renewed without a new record.
     */
    register(server: RegisteredServer): void {
        const value = JSON.stringify({
            born: server.startedAtUnixMs,
            service: server.service,
            address: server.address,
            zone: server.availabilityZone,
            version: "v1",
            capacity: server.slots,
            state: server.isDraining ? "draining" : "ready",
            warmupLeft: "0ms",
            seq: 1,
        });
        const topic = this.topic(REGISTRATIONS_TOPIC);
        if (topic.get(server.instanceId) !== value) {
            topic.put(server.instanceId, value);
        }
        this.registeredAtMs.set(server.instanceId, performance.now());
    }

    /** Removes the registration of a backend server that has left. */
    unregister(instanceId: string): void {
        this.topic(REGISTRATIONS_TOPIC).put(instanceId, "");
        this.registeredAtMs.delete(instanceId);
    }

    /** Removes the registrations that were not renewed for a time. */
    expireRegistrations(maxSilentMs: number): void {
        const minRegisteredAtMs = performance.now() - maxSilentMs;
        for (const [instanceId, registeredAtMs] of this.registeredAtMs) {
            if (registeredAtMs < minRegisteredAtMs) {
                this.unregister(instanceId);
            }
        }
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
        const respond = (): void => {
            send(response, this.process(url, body));
        };
        if (!isAffected) {
            respond();
            return;
        }
        switch (kind) {
            case "none":
                respond();
                return;
            case "busy":
                send(response, this.answer(STATUS_UNAVAILABLE, "{}"));
                return;
            case "throttled":
                send(response, this.answer(STATUS_TOO_MANY_REQUESTS, "{}"));
                return;
            case "reset":
                request.socket.resetAndDestroy();
                return;
            case "slow":
                setTimeout(respond, delayMs);
                return;
            case "late-answers": {
                const answer = this.process(url, body);
                setTimeout(() => {
                    send(response, answer);
                }, delayMs);
                return;
            }
            case "answers-lost":
                if (url.pathname === APPEND_PATH) {
                    this.append(url, body);
                    request.socket.destroy();
                    return;
                }
                respond();
                return;
            case "silent":
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

    private answer(status: number, body: string | Buffer): StoreAnswer {
        return { status, era: this.currentEra, body };
    }

    private process(url: URL, body: Buffer): StoreAnswer {
        const topicName = url.searchParams.get("topic") ?? "";
        const topic = this.topic(topicName);
        switch (url.pathname) {
            case APPEND_PATH:
                return this.answer(STATUS_OK, JSON.stringify(this.append(url, body)));
            case "/api/log-newest": {
                const after = url.searchParams.get("after") ?? "";
                const list = topic.listNewest({ after, limit: this.newestPageSize });
                const answer = this.answer(STATUS_OK, JSON.stringify(list));
                this.onNewestListed({ topic: topicName, after, hasMore: list.hasMore });
                return answer;
            }
            case "/api/log-read": {
                const records = topic.read(Number(url.searchParams.get("from")));
                return records === undefined
                    ? this.answer(STATUS_GONE, JSON.stringify({ first: topic.firstOffset }))
                    : this.answer(STATUS_OK, records);
            }
            default:
                return this.answer(STATUS_NOT_FOUND, "");
        }
    }
}

const send = (response: ServerResponse, answer: StoreAnswer): void => {
    response.writeHead(answer.status, { "Store-Era": String(answer.era) }).end(answer.body);
};
