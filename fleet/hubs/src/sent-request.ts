/** Notice that a VM sent a request to a backend server. */
export interface SentRequest {
    readonly instanceId: string;
    readonly ageMs: number;
}
