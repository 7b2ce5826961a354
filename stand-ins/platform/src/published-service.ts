/** A service as the operator publishes it: under `/read/` requests may be repeated, under `/write/` not. */
export interface PublishedService {
    readonly version: number;
    readonly host: string;
    readonly service: string;
}
