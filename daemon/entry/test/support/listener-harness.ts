import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { CallerListener } from "../../src/caller-listener.js";
import type { OpenRequest } from "../../src/open-request.js";
import { LISTENER_ADDRESS } from "./listener-address.js";

const POLL_INTERVAL_MS = 5;
const SETTLE_MS = 50;

interface RequestTextOptions {
    readonly method?: string;
    /** Further header lines. */
    readonly headers?: readonly string[];
    readonly body?: string;
}

/** A listener and one caller's connection to it. The test takes the place of the reducer. */
export class ListenerHarness {
    readonly listener: CallerListener;
    readonly requests: OpenRequest[] = [];
    readonly abandonedKeys: string[] = [];
    readonly refusedKinds: string[] = [];
    /** Ids of the requests that must not run twice. */
    readonly nonIdempotentIds = new Set<string>();
    isStopping = false;
    received = "";
    isClosed = false;
    socket!: Socket;

    constructor() {
        this.listener = new CallerListener({
            nowMs: () => performance.now(),
            isStopping: () => this.isStopping,
            isIdempotent: requestKey => {
                const request = this.requests.find(each => each.requestKey === requestKey);
                return !this.nonIdempotentIds.has(request?.requestId ?? "");
            },
            onRequest: request => {
                this.requests.push(request);
            },
            onCallerLeft: requestKey => {
                this.abandonedKeys.push(requestKey);
            },
            onInputRefused: ({ kind }) => {
                this.refusedKinds.push(kind);
            },
            onFault: (step, error) => {
                throw new Error(step, { cause: error });
            },
        });
    }

    async start(): Promise<void> {
        const { host, port } = LISTENER_ADDRESS;
        await this.listener.listen(`${host}:${port}`);
        this.socket = connect({ host, port });
        this.socket.on("data", chunk => {
            this.received += chunk.toString("latin1");
        });
        // A failed write is seen in what was received.
        this.socket.on("error", () => undefined);
        this.socket.on("close", () => {
            this.isClosed = true;
        });
        await once(this.socket, "connect");
    }

    async stop(): Promise<void> {
        this.socket.destroy();
        await this.listener.stopListening();
        this.listener.closeIfIdle();
    }

    /** Ids of the requests that were passed on. */
    get requestIds(): readonly string[] {
        return this.requests.map(({ requestId }) => requestId);
    }

    /** Status codes of the responses, in the order in which they arrived. */
    get statusCodes(): readonly number[] {
        return [...this.received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(match => Number(match[1]));
    }

    send(requestId: string, opts: RequestTextOptions = {}): void {
        const { method = "GET", headers = [], body } = opts;
        const lines = [
            `${method} /a/ HTTP/1.1`,
            "Host: parks.example",
            `X-Request-Id: ${requestId}`,
            ...body === undefined ? [] : [`Content-Length: ${body.length}`],
            ...headers,
        ];
        this.socket.write(`${lines.join("\r\n")}\r\n\r\n${body ?? ""}`);
    }

    /** Answers a request that was passed on. The body is its id. */
    relay(requestId: string, opts: { readonly isFramed?: boolean; } = {}): void {
        const request = this.requests.find(each => each.requestId === requestId);
        if (request === undefined) {
            throw new Error(`request ${requestId} was not passed on`);
        }
        this.listener.relay(request.requestKey, {
            statusCode: 200,
            rawHeaders: ["X-Server-Stamp", "s"],
            connectionHeader: undefined,
            body: Buffer.from(`<${requestId}>`),
            isFramed: opts.isFramed ?? true,
        });
    }

    async waitUntil(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await new Promise(resolve => {
                setTimeout(resolve, POLL_INTERVAL_MS);
            });
        }
    }

    /** Waits until a number of requests has been passed on. */
    async waitForRequests(count: number): Promise<void> {
        await this.waitUntil(() => this.requests.length >= count);
    }

    /** Waits until the listener has read what was sent, where nothing shows that it has. */
    async settle(): Promise<void> {
        await new Promise(resolve => {
            setTimeout(resolve, SETTLE_MS);
        });
    }
}
