import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Listens on an IP address and port. Returns the bound address, with the assigned port if port 0 was requested. */
export const listenOn = async (server: Server, address: string): Promise<string> => {
    const colon = address.lastIndexOf(":");
    const host = address.slice(0, colon);
    server.listen(Number(address.slice(colon + 1)), host.replace(/^\[|\]$/g, ""));
    // Leaves no listener behind when it fails, as callers try again on the same server.
    await once(server, "listening");
    return `${host}:${(server.address() as AddressInfo).port}`;
};
