import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** HTTP agent that runs requests on a given open socket. */
export class SocketAgent extends Agent {
    private readonly socket: Socket;

    constructor(socket: Socket) {
        super({ keepAlive: true });
        this.socket = socket;
    }

    // Called by http.request. Overridden because the base class opens and reuses connections by its own rules.
    addRequest(request: ClientRequest): void {
        request.onSocket(this.socket);
    }
}
