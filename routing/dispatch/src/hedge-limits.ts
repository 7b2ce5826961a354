/** Shares, counts and bounds of hedging within a share of the requests. */
export const HEDGE_LIMITS = {
    // Hedges that a service may save up. Several requests at one slow server become slow together; more than a few saved
    // hedges at once would be a burst of extra work.
    maxCredit: 4,
    // A threshold below the median would hedge ordinary requests.
    minQuantile: 0.5,
    // While all credit is unused, requests above this quantile may be hedged, even if the share alone would ask for a
    // higher one: one slow server in twenty makes more requests slow than a share of 0.02 covers, and the slowest 0.02 of
    // the durations are then reached only when the first server is about to answer.
    unusedCreditQuantile: 0.9,
    // Responses of a route that must have been measured.
    minSamples: 20,
    // Probability that a second attempt answers before the first one.
    minWinChance: 0.7,
    // Free slots of the candidates, as a share of all their slots, below which a service is near its capacity.
    minFreeSlotShare: 0.25,
    // Attempts above this quantile count as late when the servers of a service are compared. With the median, half of all
    // attempts in progress on fast servers would count.
    lateQuantile: 0.9,
    // Latest responses that are kept to see whether other servers still answer at their usual speed.
    maxRecentAnswers: 16,
    // Routes of a service with a measured distribution. A removed route leaves its entry behind until then.
    maxProfiles: 64,
    // A member decides by the answer to a load query that it sent at most this long ago.
    loadsValidForMs: 20,
} as const;
