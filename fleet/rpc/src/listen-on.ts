import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Listens on an IP address and port. Returns the bound address, with the assigned port if port 0 was requested. */
export const listenOn = async (server: Server, address: string): Promise<string> => {
    const colon = address.lastIndexOf(":");
    const host = address.slice(0, colon);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(address.slice(colon + 1)), host.replace(/^\[|\]$/g, ""), () => {
            server.off("error", reject);
            resolve();
        });
    });
    return `${host}:${(server.address() as AddressInfo).port}`;
};
