// HTTP pass-through without any balancing: the least that a Node.js process between caller and server adds.
import { Agent, createServer, request } from "node:http";
import type { AddressInfo } from "node:net";

const targets = process.argv.slice(2).map(address => new URL(`http://${address}`));
const agent = new Agent({ keepAlive: true });
let next = 0;

const server = createServer((incoming, outgoing) => {
    const target = targets[next % targets.length];
    next += 1;
    const forwarded = request({
        host: target?.hostname,
        port: target?.port,
        method: incoming.method,
        path: incoming.url,
        headers: incoming.headers,
        agent,
    }, answer => {
        outgoing.writeHead(answer.statusCode ?? 502, answer.headers);
        answer.pipe(outgoing);
    });
    forwarded.on("error", () => outgoing.destroy());
    incoming.pipe(forwarded);
});
server.listen(0, "127.0.0.1", () => {
    console.log(JSON.stringify({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` }));
});
process.stdin.once("close", () => process.exit(0)).resume();
