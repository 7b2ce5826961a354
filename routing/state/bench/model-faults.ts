import type { EventQueue } from "./event-queue.js";
import type { ModelServer } from "./model-server.js";

const STRAGGLER_FACTOR = 5;
const COLD_FACTOR = 3;

type ServerFault = { readonly server: ModelServer; readonly down: () => boolean; };

/**
 * One straggler from 10 s to 25 s, and one backend server that drains from 30 s, is gone at 35 s, and comes back as a
 * new instance at 40 s that is slow for 5 s.
 */
export const injectModelFaults = (events: EventQueue, servers: readonly ModelServer[]): ServerFault | undefined => {
    const straggler = servers[3];
    const restarted = servers[7];
    if (straggler === undefined || restarted === undefined) {
        return undefined;
    }
    straggler.slownessAt = atMs => atMs >= 10_000 && atMs < 25_000 ? STRAGGLER_FACTOR : 1;
    restarted.slownessAt = atMs => atMs >= 40_000 && atMs < 45_000 ? COLD_FACTOR : 1;
    let down = false;
    events.after(30_000, () => {
        restarted.draining = true;
    });
    events.after(35_000, () => {
        down = true;
    });
    events.after(40_000, () => {
        down = false;
        restarted.draining = false;
        restarted.instanceId = `${restarted.address}/2`;
    });
    return { server: restarted, down: () => down };
};
