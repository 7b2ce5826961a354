import { BackendPool, createClock } from "@marigoldstall/daemon.connections";
import type { IncomingMessage } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { BlockPool } from "../../src/block-pool.js";
import { CallerMemory } from "../../src/caller-memory.js";
import { PiecePacer } from "../../src/piece-pacer.js";
import { ServerAttempt } from "../../src/server-attempt.js";
import type { AttemptOutcome } from "./attempt-outcome.js";

/** Sends requests with `ServerAttempt` to a server that writes raw bytes. */
export class AttemptHarness {
    readonly clock = createClock({ seed: 1 });
    memory = new CallerMemory({ maxBytes: 64 * 1_024 * 1_024, nowMs: this.clock.atMs });
    /** Number of connections that the server accepted. */
    connections = 0;
    pool = new BackendPool({ address: "127.0.0.1:0", maxConnections: 4, clock: this.clock });
    private readonly sockets = new Set<Socket>();
    private readonly server = createServer({ noDelay: true }, socket => {
        this.connections += 1;
        this.sockets.add(socket);
        let count = 0;
        socket.on("error", () => undefined);
        socket.on("data", () => {
            count += 1;
            this.onRequest(socket, count);
        });
    });

    onRequest: (socket: Socket, count: number) => void = () => undefined;

    async start(): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.listen(0, "127.0.0.1", resolve);
        });
        this.pool = new BackendPool({ address: this.address, maxConnections: 4, clock: this.clock });
    }

    async stop(): Promise<void> {
        this.pool.closeAll();
        // A socket that reads nothing does not notice that the other side closed it.
        this.sockets.forEach(socket => {
            socket.destroy();
        });
        await new Promise(resolve => {
            this.server.close(resolve);
        });
    }

    run(opts: {
        readonly remainingMs?: number | undefined;
        readonly url?: string | undefined;
        readonly requestBody?: Buffer | undefined;
    } = {}): Promise<AttemptOutcome> {
        const { remainingMs = 1_000, url = "/a/", requestBody } = opts;
        return new Promise(resolve => {
            const message = {
                method: requestBody === undefined ? "GET" : "POST",
                url,
                rawHeaders: ["Host", "parks.example", "X-Request-Id", "abc"],
                headers: {},
            } as unknown as IncomingMessage;
            new ServerAttempt({
                effect: {
                    type: "start-attempt",
                    tenantName: undefined,
                    hidesApiKey: false,
                    attemptId: "1",
                    requestKey: "1",
                    instanceId: "i-1",
                    address: this.pool.address,
                    deadlineAtMs: this.clock.atMs() + remainingMs,
                },
                request: { requestKey: "1", requestId: "abc", message, body: requestBody, hasFollowers: () => false },
                pool: this.pool,
                clock: this.clock,
                memory: this.memory,
                pacer: new PiecePacer(),
                blockPool: new BlockPool(),
                onResponse: ({ bufferedResponse: { body, rawHeaders, collector }, notRun }) => {
                    const headerNames = rawHeaders.filter((text, index) => index % 2 === 0)
                        .map(name => name.toLowerCase());
                    const text = body.toString();
                    collector?.release();
                    resolve({ result: notRun ? "not-run" : "answered", body: text, headerNames });
                },
                onFailed: (failure, reason) => {
                    resolve({ result: `${failure}: ${reason}` });
                },
            }).start();
        });
    }

    private get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }
}
