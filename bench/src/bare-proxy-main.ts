// Minimal HTTP reverse proxy with round-robin selection. It is the baseline for the latency and CPU time that any
// Node.js process between caller and server adds.
import { Agent, createServer, request } from "node:http";
import type { AddressInfo } from "node:net";

const backendServers = process.argv.slice(2).map(address => new URL(`http://${address}`));
const agent = new Agent({ keepAlive: true });
let nextIndex = 0;

const server = createServer((callerRequest, callerResponse) => {
    const backendServer = backendServers[nextIndex % backendServers.length];
    nextIndex += 1;
    const serverRequest = request({
        host: backendServer?.hostname,
        port: backendServer?.port,
        method: callerRequest.method,
        path: callerRequest.url,
        headers: callerRequest.headers,
        agent,
    }, serverResponse => {
        callerResponse.writeHead(serverResponse.statusCode ?? 502, serverResponse.headers);
        serverResponse.pipe(callerResponse);
    });
    serverRequest.on("error", () => callerResponse.destroy());
    callerRequest.pipe(serverRequest);
});
server.listen(0, "127.0.0.1", () => {
    console.log(JSON.stringify({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` }));
});
process.stdin.once("close", () => process.exit(0)).resume();
