import { randomInt } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Clock } from "./clock.js";

/** Creates the clocks of the process and a random generator. A fixed seed makes its numbers repeatable. */
export const createClock = (opts: { readonly seed?: number; } = {}): Clock => {
    const generator = xoroshiro128plus(opts.seed ?? randomInt(0x7fff_ffff));
    return {
        atMs: () => performance.now(),
        wallMs: () => Date.now(),
        random: () => uniformFloat64(generator),
    };
};
