import type { Peer } from "./peer.js";

interface PickPeersOptions {
    readonly count: number;
    /** Number in [0, 1). */
    readonly random: number;
}

/** Picks distinct peers with a partial Fisher-Yates shuffle seeded by one random number. */
export const pickPeers = (peers: readonly Peer[], opts: PickPeersOptions): readonly Peer[] => {
    const pool = [...peers];
    const count = Math.min(opts.count, pool.length);
    let seed = Math.floor(opts.random * 0x1_0000_0000) >>> 0;
    for (let index = 0; index < count; index += 1) {
        // Multiplier and increment of a 32-bit linear congruential generator with full period.
        seed = (Math.imul(seed, 1_664_525) + 1_013_904_223) >>> 0;
        const other = index + Math.floor((seed / 0x1_0000_0000) * (pool.length - index));
        const picked = pool[other] as Peer;
        pool[other] = pool[index] as Peer;
        pool[index] = picked;
    }
    return pool.slice(0, count);
};
