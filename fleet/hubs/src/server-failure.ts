/** Notice that a request to a backend server, or a check of it, failed. */
export interface ServerFailure {
    readonly instanceId: string;
    /** How much the failure counts; 1 for a lost response. */
    readonly weight: number;
}
