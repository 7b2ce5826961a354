/** Matches requests to a class by method and by path below the service. */
export interface MatchRule {
    readonly methods: readonly string[];
    readonly pathPrefix: string;
}
