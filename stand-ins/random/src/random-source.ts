import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** With a small seed, the first values of the generator are close to 1, so they are discarded. */
const DISCARDED_DRAWS = 20;

/** Seeded random number generator. */
export class RandomSource {
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    constructor(opts: { readonly seed: number; }) {
        this.generator = xoroshiro128plus(opts.seed);
        for (let index = 0; index < DISCARDED_DRAWS; index += 1) {
            this.generator.next();
        }
    }

    /** Samples the uniform distribution on [0, 1). */
    uniform(): number {
        return uniformFloat64(this.generator);
    }

    /** Samples the exponential distribution with mean 1. */
    exponential(): number {
        return -Math.log(1 - this.uniform());
    }

    /** Samples the standard normal distribution with the Box-Muller transform. */
    normal(): number {
        return Math.sqrt(2 * this.exponential()) * Math.cos(2 * Math.PI * this.uniform());
    }
}
