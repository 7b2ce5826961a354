import { createServer } from "node:net";
import type { Server } from "node:net";

/** The range is below the ephemeral ports of Linux, so that an outgoing connection cannot take a selected port. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 32_000;

const tryListen = (port: number): Promise<Server | undefined> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });

/** Selects free TCP ports on 127.0.0.1. */
export const pickFreePorts = async (count: number): Promise<readonly number[]> => {
    const servers: Server[] = [];
    const ports: number[] = [];
    let port = LOWEST_PORT + Math.floor(Math.random() * (HIGHEST_PORT - LOWEST_PORT));
    while (ports.length < count) {
        const server = await tryListen(port);
        if (server !== undefined) {
            servers.push(server);
            ports.push(port);
        }
        port = port >= HIGHEST_PORT ? LOWEST_PORT : port + 1;
    }
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};
