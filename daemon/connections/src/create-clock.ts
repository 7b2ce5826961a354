import { randomInt } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Clock } from "./clock.js";

/** Clocks of the process, and a generator whose seed can be set to repeat a run. */
export const createClock = (opts: { readonly seed?: number; } = {}): Clock => {
    const generator = xoroshiro128plus(opts.seed ?? randomInt(0x7fff_ffff));
    return {
        atMs: () => performance.now(),
        wallMs: () => Date.now(),
        random: () => uniformFloat64(generator),
    };
};
