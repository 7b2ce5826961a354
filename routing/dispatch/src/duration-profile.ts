/**
 * Distribution of the recent durations of a route at a service, in a fixed number of logarithmic buckets. Older responses
 * weigh less.
 */
export interface DurationProfile {
    readonly weights: readonly number[];
}
