/** Seeded pseudorandom number generator (mulberry32). */
export class SeededRandom {
    private state: number;

    constructor(seed: number) {
        this.state = seed | 0;
    }

    next(): number {
        this.state = (this.state + 0x6d2b79f5) | 0;
        let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
    }

    nextInteger(limit: number): number {
        return Math.floor(this.next() * limit);
    }

    chance(probability: number): boolean {
        return this.next() < probability;
    }
}
