/** A request that a VM sent to a backend server. */
export interface SendingNews {
    readonly instanceId: string;
    readonly ageMs: number;
}
