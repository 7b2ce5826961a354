/** Where a key is kept in the owner's table. */
export interface KeyPlace {
    readonly share: number;
    readonly keyTimeMs: number;
    /** Service and key. */
    readonly id: string;
}
