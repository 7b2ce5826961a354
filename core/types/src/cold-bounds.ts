/** How far the requests to a cold backend server may exceed what it tolerates. */
export interface ColdBounds {
    readonly overFactor: number;
    /** Further requests in a second. */
    readonly slackRequests: number;
}
