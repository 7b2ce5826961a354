// Lehmer generator.
const MULTIPLIER = 16_807;
const MODULUS = 2_147_483_647;

/** Pseudo-random sequence for the decisions of one event, seeded with the event's random number. */
export class RandomSequence {
    private seed: number;

    constructor(random: number) {
        this.seed = 1 + Math.floor(random * (MODULUS - 2));
    }

    /** Next value, in [0, 1). */
    next(): number {
        this.seed = this.seed * MULTIPLIER % MODULUS;
        return this.seed / MODULUS;
    }
}
