// What the cases 6 to 10 share. Everything listens on loopback addresses.
import { randomBytes } from "node:crypto";
import { appendFileSync, writeFileSync } from "node:fs";
import net from "node:net";
import path from "node:path";
import { fileURLToPath } from "node:url";

export const REPOSITORY = fileURLToPath(new URL("../..", import.meta.url));
export const HAS_TROUBLE = process.env.TROUBLE !== "0";
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const newId = () => randomBytes(8).toString("hex");
const startedAtMs = performance.now();
export const nowMs = () => performance.now() - startedAtMs;

/** Writes the lines of `record.txt`, which stands beside the module. */
export const openRecord = moduleUrl => {
    const file = path.join(path.dirname(fileURLToPath(moduleUrl)), "record.txt");
    writeFileSync(file, "");
    return text => appendFileSync(file, `${(nowMs() / 1_000).toFixed(3).padStart(8)} ${text}\n`);
};

// Each run has loopback addresses of its own, so that all VMs can use the same ports.
const NETWORK = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
let nextHost = 1;
export const newHost = () => `${NETWORK}.${nextHost++}`;

export const freePorts = async (host, count) => {
    const servers = [];
    for (let index = 0; index < count; index += 1) {
        const server = net.createServer();
        await new Promise((resolve, reject) => server.once("error", reject).listen(0, host, resolve));
        servers.push(server);
    }
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};
