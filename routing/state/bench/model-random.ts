import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeded random number generator of a simulation. */
export class ModelRandom {
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** Returns a uniformly distributed number in [0, 1). */
    next(): number {
        return uniformFloat64(this.generator);
    }

    exponential(mean: number): number {
        return -mean * Math.log(1 - this.next());
    }

    /** Returns a log-normally distributed number with the given mean, whose logarithm has a standard deviation of 1. */
    lognormal(mean: number): number {
        const normal = Math.sqrt(-2 * Math.log(1 - this.next())) * Math.cos(2 * Math.PI * this.next());
        return mean * Math.exp(normal - 0.5);
    }
}
