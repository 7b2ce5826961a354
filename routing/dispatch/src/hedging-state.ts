import type { RollingCount } from "@marigoldstall/routing.state";
import type { DurationProfile } from "./duration-profile.js";
import type { RecentAnswer } from "./recent-answer.js";

/** State of a service for hedging within a share of its requests. It stays empty while the share is 0. */
export interface HedgingState {
    /** Hedges that may be sent. Each request earns a fraction of one. */
    readonly credit: number;
    readonly hedges: RollingCount;
    /** Distribution of durations by route. */
    readonly profiles: ReadonlyMap<string, DurationProfile>;
    /** The latest ones, oldest first. */
    readonly recentAnswers: readonly RecentAnswer[];
}
