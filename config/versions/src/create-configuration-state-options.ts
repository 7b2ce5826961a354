/** Options of {@link createConfigurationState}. */
export interface CreateConfigurationStateOptions {
    /** Current time of the daemon's monotonic clock. */
    readonly atMs: number;
}
