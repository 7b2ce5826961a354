/** Options of a measurement. */
export interface BenchOptions {
    readonly seeds: readonly number[];
    /** Time that is measured in each run, after the warm-up. */
    readonly seconds: number;
    readonly print: (line: string) => void;
}
