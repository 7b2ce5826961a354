/** One service that a route sends requests to, with its share of them. */
export interface Destination {
    readonly service: string;
    readonly weight: number;
}
