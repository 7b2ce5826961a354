import { decodeFleetMessage, encodeFleetMessage, type FleetMessage } from "@marigoldstall/fleet.hubs";
import { createSocket, type Socket } from "node:dgram";

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
        await new Promise<void>((resolve, reject) => {
            this.socket.once("error", reject);
            this.socket.bind({ address: this.opts.host, port: this.opts.port }, () => {
                this.socket.off("error", reject);
                resolve();
            });
        });
    }

    send(hosts: readonly string[], message: FleetMessage): void {
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
