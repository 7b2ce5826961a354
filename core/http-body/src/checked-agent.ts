import { Agent } from "node:http";
import type { NetConnectOpts, Socket, SocketConstructorOpts } from "node:net";
import { CheckedSocket } from "./checked-socket.js";

/** HTTP agent that opens sockets whose end can be checked. */
export class CheckedAgent extends Agent {
    /** Called by Node.js for each new connection. Does what `net.createConnection` does for other sockets. */
    override createConnection(opts: NetConnectOpts): Socket {
        const socket = new CheckedSocket(opts as SocketConstructorOpts);
        if (opts.timeout !== undefined) {
            socket.setTimeout(opts.timeout);
        }
        return socket.connect(opts);
    }
}
