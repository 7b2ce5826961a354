/** Options of {@link createConfigurationState}. */
export interface CreateConfigurationStateOptions {
    /** The daemon's monotonic clock. */
    readonly atMs: number;
}
