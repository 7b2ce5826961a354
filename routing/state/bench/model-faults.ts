import type { EventQueue } from "./event-queue.js";
import type { ModelServer } from "./model-server.js";

const STRAGGLER_FACTOR = 5;
const SLOW_START_FACTOR = 3;

type ServerFault = { readonly server: ModelServer; readonly down: () => boolean; };

/**
 * Injects two faults: a straggler from 10 s to 25 s, and a backend server that drains from 30 s, is down from 35 s and
 * restarts at 40 s as a new instance that is slow for 5 s.
 */
export const injectModelFaults = (events: EventQueue, servers: readonly ModelServer[]): ServerFault | undefined => {
    const straggler = servers[3];
    const restarted = servers[7];
    if (straggler === undefined || restarted === undefined) {
        return undefined;
    }
    straggler.serviceTimeFactorAt = atMs => atMs >= 10_000 && atMs < 25_000 ? STRAGGLER_FACTOR : 1;
    restarted.serviceTimeFactorAt = atMs => atMs >= 40_000 && atMs < 45_000 ? SLOW_START_FACTOR : 1;
    let down = false;
    events.schedule(30_000, () => {
        restarted.draining = true;
    });
    events.schedule(35_000, () => {
        down = true;
    });
    events.schedule(40_000, () => {
        down = false;
        restarted.draining = false;
        restarted.instanceId = `${restarted.address}/2`;
    });
    return { server: restarted, down: () => down };
};
