import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Random numbers of a model from a seed. */
export class ModelRandom {
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** A number in [0, 1). */
    next(): number {
        return uniformFloat64(this.generator);
    }

    exponential(mean: number): number {
        return -mean * Math.log(1 - this.next());
    }

    /** Log-normal with the given mean and a standard deviation of 1 of its logarithm. */
    lognormal(mean: number): number {
        const normal = Math.sqrt(-2 * Math.log(1 - this.next())) * Math.cos(2 * Math.PI * this.next());
        return mean * Math.exp(normal - 0.5);
    }
}
