/** Matches requests to a class by method and by path prefix within the service. */
export interface MatchRule {
    readonly methods: readonly string[];
    readonly pathPrefix: string;
}
