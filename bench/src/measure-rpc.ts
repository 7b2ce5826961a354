import { parseHeartbeat } from "@marigoldstall/fleet.membership";
import type { Heartbeat } from "@marigoldstall/fleet.membership";
import { RpcClient, RpcServer } from "@marigoldstall/fleet.rpc";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import type { CostRow } from "./cost-row.js";
import { timeProcessor } from "./time-processor.js";

const KEY = "key of the measurement, on one machine only";
const WARM_UP_CALLS = 1500;
const CALLS = 2000;
/** Calls a second that a daemon sends; it receives as many on average. */
const HEARTBEATS_PER_SECOND = 3;
const MICROSECONDS_PER_MS = 1000;

/** Heartbeats through the real client and server of the control port, both in this process. */
export const measureRpc = async (
    heartbeat: Heartbeat,
    opts: { readonly at: string; },
): Promise<readonly CostRow[]> => {
    const sockets: Socket[] = [];
    const collect = (message: unknown): void => {
        sockets.push((message as { readonly socket: Socket; }).socket);
    };
    subscribe("net.client.socket", collect);
    const server = new RpcServer({
        key: KEY,
        methods: { "membership.heartbeat": params => parseHeartbeat(params) ?? {} },
    });
    const client = new RpcClient({ key: KEY });
    const callMany = async (address: string, count: number): Promise<void> => {
        for (let index = 0; index < count; index += 1) {
            const answer = await client.call(address, { method: "membership.heartbeat", params: heartbeat });
            if (answer.isErr() || parseHeartbeat(answer.value) === undefined) {
                throw new Error("a heartbeat was not answered");
            }
        }
    };
    const bytes = () => sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
    try {
        const address = await server.listen("127.0.0.1:0");
        await callMany(address, WARM_UP_CALLS);
        const before = bytes();
        const usedMs = await timeProcessor(() => callMany(address, CALLS));
        const callBytes = (bytes() - before) / CALLS;
        const perCallMs = usedMs / CALLS;
        const { at } = opts;
        const part = "heartbeats over fleet/rpc";
        return [
            {
                part,
                at,
                quantity: "processor µs a call, both sides",
                value: (perCallMs * MICROSECONDS_PER_MS).toFixed(0),
            },
            { part, at, quantity: "bytes a call, request and answer", value: callBytes.toFixed(0) },
            {
                part,
                at,
                quantity: `processor ms/s of a daemon, ${HEARTBEATS_PER_SECOND} calls/s each way`,
                value: (perCallMs * HEARTBEATS_PER_SECOND).toFixed(2),
            },
            {
                part,
                at,
                quantity: "bytes/s of a daemon, sent and received",
                value: (callBytes * HEARTBEATS_PER_SECOND * 2).toFixed(0),
            },
        ];
    }
    finally {
        unsubscribe("net.client.socket", collect);
        client.close();
        await server.close();
    }
};
