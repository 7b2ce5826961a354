import { Agent, request as httpRequest } from "node:http";
import type { Outcome } from "./outcome.js";

const DEADLINE_MS = 1_500;
// A caller waits a little longer than the deadline that it states, so that a late answer is seen too.
const PATIENCE_MS = DEADLINE_MS + 1_000;

/** Sends requests to one VM over kept connections, which it goes on using until they are closed. */
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

    send(requestId: string, opts: { readonly isIdempotent: boolean; }): Promise<Outcome> {
        const { isIdempotent } = opts;
        const sentAtMs = performance.now();
        const [host = "", port = ""] = this.address.split(":");
        return new Promise(resolve => {
            const end = (statusCode: number | undefined, body: string): void => {
                clearTimeout(timer);
                const endedAtMs = performance.now();
                resolve({ requestId, isIdempotent, vmId: this.vmId, sentAtMs, endedAtMs, statusCode, body });
            };
            const request = httpRequest({
                agent: this.agent,
                host,
                port,
                method: isIdempotent ? "GET" : "POST",
                path: isIdempotent ? "/read/1" : "/write/1",
                headers: { "Host": this.host, "X-Request-Id": requestId, "X-Deadline-Ms": DEADLINE_MS },
            });
            const timer = setTimeout(() => {
                request.destroy();
            }, PATIENCE_MS);
            request.on("error", () => {
                end(undefined, "");
            });
            request.on("response", response => {
                let body = "";
                response.on("data", (chunk: Buffer) => {
                    body += chunk.toString();
                });
                response.on("error", () => {
                    end(undefined, "");
                });
                response.on("end", () => {
                    end(response.statusCode, body);
                });
            });
            request.end();
        });
    }

    close(): void {
        this.agent.destroy();
    }
}
