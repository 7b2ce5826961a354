/** Effects of the measuring reducer. */
export type MeasuringEffect = {
    readonly type: "send-probe";
    readonly address: string;
    readonly unit: number;
    /** The probe is dropped if its first byte is not written by this time on the monotonic clock. */
    readonly notAfterAtMs: number;
    /** The probe is dropped from this wall clock time on, as another daemon may own the share then. */
    readonly beforeWallMs: number;
};
