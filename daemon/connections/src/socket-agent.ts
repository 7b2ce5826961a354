import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** Gives the one request that is made with it a connection that is open already. */
export class SocketAgent extends Agent {
    private readonly socket: Socket;

    constructor(socket: Socket) {
        super({ keepAlive: true });
        this.socket = socket;
    }

    // Called by http.request. The base class would open connections and reuse them by its own rules.
    addRequest(request: ClientRequest): void {
        request.onSocket(this.socket);
    }
}
