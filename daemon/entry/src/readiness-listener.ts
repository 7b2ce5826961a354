import { listenOn } from "@marigoldstall/fleet.rpc";
import { READY_PATH } from "@marigoldstall/platform.adapter";
import { createServer, type Server } from "node:http";

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

/** HTTP listener for the readiness checks of the platform's balancer. */
export class ReadinessListener {
    private readonly server: Server;

    constructor(opts: { readonly isReady: () => boolean; }) {
        this.server = createServer((request, response) => {
            request.resume();
            const statusCode = request.url !== READY_PATH
                ? STATUS_NOT_FOUND
                : opts.isReady()
                ? STATUS_OK
                : STATUS_UNAVAILABLE;
            response.writeHead(statusCode, { "Content-Length": 0 });
            response.end();
        });
    }

    async listen(address: string): Promise<void> {
        await listenOn(this.server, address);
    }
}
