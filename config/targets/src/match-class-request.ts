/** The parts of a request that decide its class. */
export interface MatchClassRequest {
    readonly service: string;
    readonly method: string;
    /** Path below the service, starting with a slash; a query is ignored. */
    readonly path: string;
    /** Value of the header `Marigoldstall-Class`; it takes precedence over method and path. */
    readonly className?: string | undefined;
}
