import { parseHeartbeat } from "@marigoldstall/fleet.membership";
import type { Heartbeat } from "@marigoldstall/fleet.membership";
import { RpcClient, RpcServer } from "@marigoldstall/fleet.rpc";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import type { CostRow } from "./cost-row.js";
import { measureCpuTime } from "./measure-cpu-time.js";

const CONTROL_KEY = "benchmark key, used on loopback only";
const WARM_UP_CALLS = 1500;
const CALLS = 2000;
/** Heartbeats that a daemon sends per second. On average it receives as many. */
const HEARTBEATS_PER_SECOND = 3;
const MICROSECONDS_PER_MS = 1000;

/** Measures heartbeats between the real client and server of the control port, both in this process. */
export const measureRpc = async (
    heartbeat: Heartbeat,
    opts: { readonly at: string; },
): Promise<readonly CostRow[]> => {
    const sockets: Socket[] = [];
    const collectSocket = (message: unknown): void => {
        sockets.push((message as { readonly socket: Socket; }).socket);
    };
    subscribe("net.client.socket", collectSocket);
    const server = new RpcServer({
        key: CONTROL_KEY,
        methods: { "membership.heartbeat": params => parseHeartbeat(params) ?? {} },
    });
    const client = new RpcClient({ key: CONTROL_KEY });
    const callMany = async (address: string, count: number): Promise<void> => {
        for (let index = 0; index < count; index += 1) {
            const result = await client.call(address, { method: "membership.heartbeat", params: heartbeat });
            if (result.isErr() || parseHeartbeat(result.value) === undefined) {
                throw new Error("a heartbeat got no valid answer");
            }
        }
    };
    const countBytes = () => sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
    try {
        const address = await server.listen("127.0.0.1:0");
        await callMany(address, WARM_UP_CALLS);
        const before = countBytes();
        const cpuMs = await measureCpuTime(() => callMany(address, CALLS));
        const bytesPerCall = (countBytes() - before) / CALLS;
        const cpuMsPerCall = cpuMs / CALLS;
        const { at } = opts;
        const part = "heartbeats over fleet/rpc";
        return [
            {
                part,
                at,
                quantity: "processor µs a call, both sides",
                value: (cpuMsPerCall * MICROSECONDS_PER_MS).toFixed(0),
            },
            { part, at, quantity: "bytes a call, request and answer", value: bytesPerCall.toFixed(0) },
            {
                part,
                at,
                quantity: `processor ms/s of a daemon, ${HEARTBEATS_PER_SECOND} calls/s each way`,
                value: (cpuMsPerCall * HEARTBEATS_PER_SECOND).toFixed(2),
            },
            {
                part,
                at,
                quantity: "bytes/s of a daemon, sent and received",
                value: (bytesPerCall * HEARTBEATS_PER_SECOND * 2).toFixed(0),
            },
        ];
    }
    finally {
        unsubscribe("net.client.socket", collectSocket);
        client.close();
        await server.close();
    }
};
