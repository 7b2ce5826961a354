/** A service that a route sends requests to, with its weight in the traffic split. */
export interface Destination {
    readonly service: string;
    readonly weight: number;
}
