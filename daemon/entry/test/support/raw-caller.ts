import type { RandomSource } from "@marigoldstall-private/random";
import { connect, type Socket } from "node:net";
import type { Habit } from "./habit.js";
import { ResponseParser } from "./response-parser.js";
import type { SentRequest } from "./sent-request.js";

const PIPELINING_HABITS: ReadonlySet<Habit> = new Set(["pipelined", "mixed"]);
// Share of the requests of a mixed pipeline that are not idempotent.
const NON_IDEMPOTENT_SHARE = 0.3;

interface RawCallerOptions {
    readonly host: string;
    readonly port: number;
    readonly publicHost: string;
    readonly name: string;
    readonly habit: Habit;
    readonly random: RandomSource;
}

interface PendingRequest {
    readonly requestId: string;
    readonly workMs: number;
    readonly sentAtMs: number;
    readonly isBehindAnother: boolean;
}

const RECONNECT_DELAY_MS = 60;
const MAX_PIPELINED = 4;
const MAX_WORK_MS = 300;
const LONG_WORK_MS = 900;
// More than the kernel buffers for a loopback connection.
const LARGE_BODY_BYTES = 14_000_000;
const SLOW_READ_PAUSE_MS = 4;
const MAX_IDLE_MS = 3_600;

const sleep = (durationMs: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, durationMs);
    });

/** Sends requests on raw connections, each until the other side closes it, and opens a new one after that. */
export class RawCaller {
    readonly outcomes: SentRequest[] = [];
    private readonly opts: RawCallerOptions;
    private isStopped = false;
    private count = 0;

    constructor(opts: RawCallerOptions) {
        this.opts = opts;
    }

    /** Resolves once the caller was stopped and its last connection has ended. */
    async run(): Promise<void> {
        while (!this.isStopped) {
            await this.useConnection();
            await sleep(RECONNECT_DELAY_MS);
        }
    }

    stop(): void {
        this.isStopped = true;
    }

    private async useConnection(): Promise<void> {
        const { host, port, habit, random } = this.opts;
        const pending: PendingRequest[] = [];
        const socket = connect({ host, port, noDelay: true });
        let closing = false;
        let closed = false;
        const record = (request: PendingRequest, response: { statusCode?: number; bodyStart: string; }): void => {
            this.outcomes.push({
                ...request,
                habit,
                isBehindAnother: request.isBehindAnother || closing,
                statusCode: response.statusCode,
                bodyStart: response.bodyStart,
                endedAtMs: performance.now(),
            });
        };
        const parser = new ResponseParser({
            onResponse: response => {
                const request = pending[0];
                if (request === undefined) {
                    throw new Error(`a response without a request: ${response.statusCode} ${response.bodyStart}`);
                }
                record(request, response);
                pending.shift();
                closing ||= response.closesConnection;
            },
        });
        const ended = new Promise<void>(resolve => {
            socket.on("close", () => {
                closed = true;
                for (const request of pending) {
                    record(request, { bodyStart: "" });
                }
                resolve();
            });
        });
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            parser.read(chunk);
            if (habit === "slow-reader") {
                socket.pause();
                setTimeout(() => socket.resume(), SLOW_READ_PAUSE_MS);
            }
        });
        socket.on("end", () => {
            parser.end();
        });
        await Promise.race([new Promise(resolve => socket.once("connect", resolve)), ended]);
        if (habit === "late") {
            await sleep(random.uniform() * MAX_IDLE_MS);
        }
        const isPipelining = PIPELINING_HABITS.has(habit);
        const maxPending = isPipelining ? MAX_PIPELINED : 1;
        while (!closed && !closing && !this.isStopped) {
            if (pending.length < maxPending) {
                await this.send(socket, pending);
            }
            await sleep(random.uniform() * (isPipelining ? 40 : 120));
        }
        if (this.isStopped && pending.length === 0) {
            socket.destroy();
        }
        await ended;
    }

    private async send(socket: Socket, pending: PendingRequest[]): Promise<void> {
        const { habit, name, publicHost, random } = this.opts;
        this.count += 1;
        const requestId = `${name}-${this.count}`;
        const workMs = Math.round(random.uniform() * (random.uniform() < 0.1 ? LONG_WORK_MS : MAX_WORK_MS));
        const bodyBytes = habit === "slow-reader" ? LARGE_BODY_BYTES : 20;
        const isChunked = habit === "chunked";
        const isPost = isChunked || (habit === "mixed" && random.uniform() < NON_IDEMPOTENT_SHARE);
        const isBehindAnother = pending.length > 0;
        const head = [
            `${isPost ? "POST" : "GET"} /${
                isPost ? "write" : "read"
            }/?workMs=${workMs}&bodyBytes=${bodyBytes} HTTP/1.1`,
            `Host: ${publicHost}`,
            `X-Request-Id: ${requestId}`,
            "X-Deadline-Ms: 1500",
            ...isChunked ? ["Transfer-Encoding: chunked"] : [],
            ...isPost && !isChunked ? ["Content-Length: 0"] : [],
            "\r\n",
        ].join("\r\n");
        if (isChunked) {
            // Split in the middle of the head and of the body.
            socket.write(head.slice(0, 30));
            await sleep(random.uniform() * 30);
            socket.write(`${head.slice(30)}5\r\nhello\r\n`);
            await sleep(random.uniform() * 30);
            socket.write("0\r\n\r\n");
        }
        else {
            socket.write(head);
        }
        if (!socket.destroyed) {
            pending.push({ requestId, workMs, sentAtMs: performance.now(), isBehindAnother });
        }
    }
}
