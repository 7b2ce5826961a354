export interface BenchOptions {
    readonly seeds: readonly number[];
    /** Measured part of each run, without the warm-up. */
    readonly durationSeconds: number;
    readonly print: (line: string) => void;
}
