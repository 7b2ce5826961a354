/** The parts of a request that determine its class. */
export interface MatchClassRequest {
    readonly service: string;
    readonly method: string;
    /** Path below the service, starting with a slash. A query string is ignored. */
    readonly path: string;
    /** Value of the header `Marigoldstall-Class`; takes precedence over method and path. */
    readonly className?: string | undefined;
}
