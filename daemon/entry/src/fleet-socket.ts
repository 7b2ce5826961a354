import { decodeFleetMessage, encodeFleetMessage, type FleetMessage } from "@marigoldstall/fleet.hubs";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";

interface FleetSocketOptions {
    readonly host: string;
    readonly port: number;
    readonly onMessage: (message: FleetMessage, host: string) => void;
    /** Called for a datagram that is no message of this fleet. */
    readonly onRefused: (peer: string) => void;
    readonly onError: (problem: string, peer: string) => void;
}

/** UDP socket for the datagrams between entry VMs. */
export class FleetSocket {
    private readonly opts: FleetSocketOptions;
    private readonly socket: Socket;
    private isBound = false;

    constructor(opts: FleetSocketOptions) {
        this.opts = opts;
        this.socket = createSocket("udp4");
        this.socket.on("message", (bytes, { address }) => {
            const message = decodeFleetMessage(bytes);
            if (message === undefined) {
                opts.onRefused(address);
            }
            else {
                opts.onMessage(message, address);
            }
        });
        this.socket.on("error", error => {
            opts.onError(error.message, "");
        });
    }

    async listen(): Promise<void> {
        this.socket.bind({ address: this.opts.host, port: this.opts.port });
        await once(this.socket, "listening");
        this.isBound = true;
    }

    close(): void {
        this.isBound = false;
        this.socket.close();
    }

    send(hosts: readonly string[], message: FleetMessage): void {
        // Node.js binds a socket that is not bound yet to a random port when it sends, so that `listen` fails for good.
        if (!this.isBound) {
            return;
        }
        const bytes = encodeFleetMessage(message);
        for (const host of hosts) {
            this.socket.send(bytes, this.opts.port, host, error => {
                if (error instanceof Error) {
                    this.opts.onError(error.message, host);
                }
            });
        }
    }
}
