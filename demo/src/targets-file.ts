/** The parts of a targets file that the demonstration reads. */
export interface TargetsFile {
    readonly measuring: { readonly probesPerSecond: number; };
    readonly classes: readonly {
        readonly name: string;
        readonly lateness: { readonly percentile: number; readonly withinMs: number; };
        readonly turnedAwayAtMostPercent: number;
    }[];
}
