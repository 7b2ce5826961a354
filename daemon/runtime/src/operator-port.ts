import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

interface OperatorPortOptions {
    readonly metrics: () => Promise<string>;
    readonly metricsContentType: string;
    /** Empty when the daemon is ready. */
    readonly reasonsNotReady: () => readonly string[];
}

/** The port for `/metrics`, `/livez` and `/readyz`. */
export class OperatorPort {
    private readonly opts: OperatorPortOptions;
    private readonly server: Server;

    constructor(opts: OperatorPortOptions) {
        this.opts = opts;
        this.server = createServer({ requestTimeout: 10_000, maxHeaderSize: 8_192 }, (request, response) => {
            request.resume();
            this.answer((request.url ?? "").split("?", 1)[0] as string, response);
        });
    }

    async listen(address: string): Promise<string> {
        const colon = address.lastIndexOf(":");
        const host = address.slice(0, colon);
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(Number(address.slice(colon + 1)), host.replace(/^\[|\]$/g, ""), () => {
                this.server.off("error", reject);
                resolve();
            });
        });
        return `${host}:${(this.server.address() as AddressInfo).port}`;
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private answer(path: string, response: ServerResponse): void {
        if (path === "/livez") {
            this.send(response, 200, "ok\n");
        }
        else if (path === "/readyz") {
            const reasons = this.opts.reasonsNotReady();
            this.send(response, reasons.length === 0 ? 200 : 503, reasons.length === 0 ? "ok\n" : reasons.join("\n"));
        }
        else if (path === "/metrics") {
            this.opts.metrics().then(text => {
                this.send(response, 200, text, this.opts.metricsContentType);
            }, () => {
                this.send(response, 500, "metrics are not available\n");
            });
        }
        else {
            this.send(response, 404, "not found\n");
        }
    }

    private send(response: ServerResponse, statusCode: number, body: string, contentType = "text/plain"): void {
        response.writeHead(statusCode, { "Content-Type": contentType, "Content-Length": Buffer.byteLength(body) });
        response.end(body);
    }
}
