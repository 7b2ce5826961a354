/**
 * Service to publish. Its requests under `/read/` are safe to repeat, those under `/write/` are not. The configuration
 * also has a route `/version-N/`, with the version for N, to a service without servers: a VM answers 404 there unless
 * this version is in force.
 */
export interface PublishedService {
    readonly version: number;
    readonly host: string;
    readonly service: string;
    /** Default: 65,536. */
    readonly maxBodyBytes?: number;
}
