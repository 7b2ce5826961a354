import { Agent, request as httpRequest } from "node:http";
import type { Outcome } from "./outcome.js";

const DEADLINE_MS = 1_500;
// Longer than the requested deadline, so that late responses are recorded too.
const RESPONSE_TIMEOUT_MS = DEADLINE_MS + 1_000;

/** Sends requests to one entry VM over keep-alive connections, which it reuses until they are closed. */
export class PlatformCaller {
    private readonly agent = new Agent({ keepAlive: true });
    private readonly vmId: string;
    private readonly address: string;
    private readonly host: string;

    constructor(opts: { readonly vmId: string; readonly address: string; readonly host: string; }) {
        this.vmId = opts.vmId;
        this.address = opts.address;
        this.host = opts.host;
    }

    send(requestId: string, opts: {
        readonly isIdempotent: boolean;
        readonly path?: string;
        /** Time after which the caller closes the connection. Default: later than the deadline. */
        readonly leaveAfterMs?: number;
    }): Promise<Outcome> {
        const { isIdempotent, leaveAfterMs = RESPONSE_TIMEOUT_MS } = opts;
        const sentAtMs = performance.now();
        const [host = "", port = ""] = this.address.split(":");
        return new Promise(resolve => {
            const settle = (statusCode: number | undefined, body: string): void => {
                clearTimeout(timer);
                const endedAtMs = performance.now();
                resolve({ requestId, isIdempotent, vmId: this.vmId, sentAtMs, endedAtMs, statusCode, body });
            };
            const request = httpRequest({
                agent: this.agent,
                host,
                port,
                method: isIdempotent ? "GET" : "POST",
                path: opts.path ?? (isIdempotent ? "/read/1" : "/write/1"),
                headers: { "Host": this.host, "X-Request-Id": requestId, "X-Deadline-Ms": DEADLINE_MS },
            });
            const timer = setTimeout(() => {
                request.destroy();
            }, leaveAfterMs);
            request.on("error", () => {
                settle(undefined, "");
            });
            request.on("response", response => {
                let body = "";
                response.on("data", (chunk: Buffer) => {
                    body += chunk.toString();
                });
                response.on("error", () => {
                    settle(undefined, "");
                });
                response.on("end", () => {
                    settle(response.statusCode, body);
                });
            });
            request.end();
        });
    }

    /** Resets the chosen ones of the open connections, used or not. */
    resetConnections(isChosen: () => boolean): void {
        for (const socket of [...Object.values(this.agent.sockets), ...Object.values(this.agent.freeSockets)].flat()) {
            if (isChosen()) {
                socket?.resetAndDestroy();
            }
        }
    }

    close(): void {
        this.agent.destroy();
    }
}
