import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** The first numbers of the generator are close to 1 for small seeds. */
const SKIPPED_NUMBERS = 20;

/** Seeded random numbers. */
export class RandomSource {
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    constructor(opts: { readonly seed: number; }) {
        this.generator = xoroshiro128plus(opts.seed);
        for (let index = 0; index < SKIPPED_NUMBERS; index += 1) {
            this.generator.next();
        }
    }

    /** Uniform in [0, 1). */
    uniform(): number {
        return uniformFloat64(this.generator);
    }

    /** Exponential with mean 1. */
    exponential(): number {
        return -Math.log(1 - this.uniform());
    }

    /** Standard normal, by the Box-Muller transform. */
    normal(): number {
        return Math.sqrt(2 * this.exponential()) * Math.cos(2 * Math.PI * this.uniform());
    }
}
