/** Where a key is kept in the owner's table. */
export interface KeyPlace {
    readonly share: number;
    readonly keyTimeMs: number;
    /** Service and key, joined into one text. */
    readonly id: string;
}
