import { sendJson } from "@marigoldstall-private/http";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { BackendServer } from "./backend-server.js";
import type { BackendSettings } from "./backend-settings.js";
import { serveControl } from "./serve-control.js";

const SERVER_PATH = /^\/servers\/([^/]+)(\/_[a-z]+)$/;

/** Hosts several backend servers in one process. The control address stays reachable when a server has crashed. */
export class BackendHost {
    readonly servers: readonly BackendServer[];
    readonly controlAddress: string;
    private readonly control: Server;

    private constructor(control: Server, opts: { readonly servers: readonly BackendServer[]; }) {
        this.control = control;
        this.servers = opts.servers;
        this.controlAddress = `127.0.0.1:${(control.address() as AddressInfo).port}`;
        control.on("request", (request, response) => {
            this.serve(request, response).catch(() => response.destroy());
        });
    }

    static async start(opts: { readonly servers: readonly BackendSettings[]; }): Promise<BackendHost> {
        const servers = await Promise.all(opts.servers.map(settings => BackendServer.start(settings)));
        const control = createServer();
        await new Promise<void>((resolve, reject) => {
            control.once("error", reject);
            control.listen(0, "127.0.0.1", resolve);
        });
        return new BackendHost(control, { servers });
    }

    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.control.close(() => resolve()));
        this.control.closeAllConnections();
        await Promise.all([closed, ...this.servers.map(server => server.close())]);
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.url === "/_record") {
            sendJson(response, { status: 200, body: this.servers.map(server => server.record()) });
            return;
        }
        const [, vmId, path] = SERVER_PATH.exec(request.url ?? "") ?? [];
        const server = this.servers.find(candidate => candidate.vmId === vmId);
        const isHandled = server !== undefined && path !== undefined
            && await serveControl(server, { request, response, path });
        if (!isHandled) {
            sendJson(response, { status: 404, body: { error: "unknown server or control path" } });
        }
    }
}
