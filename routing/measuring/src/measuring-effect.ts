/** Effects of the measuring slice. */
export type MeasuringEffect = {
    readonly type: "send-probe";
    readonly address: string;
    readonly unit: number;
    /** The shell drops the probe when its monotonic clock is past this before the first byte is written. */
    readonly notAfterAtMs: number;
    /** The shell drops the probe from this wall clock time on, because the share may then belong to another daemon. */
    readonly beforeWallMs: number;
};
