/** Service to publish. Its requests under `/read/` are safe to repeat, those under `/write/` are not. */
export interface PublishedService {
    readonly version: number;
    readonly host: string;
    readonly service: string;
}
