/** Effects of the measuring slice. */
export type MeasuringEffect = {
    readonly type: "send-probe";
    readonly address: string;
    readonly unit: number;
    /** The shell drops the probe when its monotonic clock is past this before the first byte is written. */
    readonly notAfterAtMs: number;
    /** The same for its wall clock: the share may belong to another daemon from here on. */
    readonly beforeWallMs: number;
};
