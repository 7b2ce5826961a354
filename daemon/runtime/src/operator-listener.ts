import { listenOn } from "@marigoldstall/fleet.rpc";
import { createServer, type Server, type ServerResponse } from "node:http";

interface OperatorListenerOptions {
    readonly metrics: () => Promise<string>;
    readonly metricsContentType: string;
    /** Empty when the daemon is ready. */
    readonly reasonsNotReady: () => readonly string[];
}

/** HTTP server for `/metrics`, `/livez` and `/readyz`. */
export class OperatorListener {
    private readonly opts: OperatorListenerOptions;
    private readonly server: Server;

    constructor(opts: OperatorListenerOptions) {
        this.opts = opts;
        this.server = createServer({ requestTimeout: 10_000, maxHeaderSize: 8_192 }, (request, response) => {
            request.resume();
            this.answer((request.url ?? "").split("?", 1)[0] as string, response);
        });
    }

    async listen(address: string): Promise<string> {
        return await listenOn(this.server, address);
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
