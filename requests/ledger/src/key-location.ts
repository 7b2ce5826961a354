/** Position of a key in the owner's table. */
export interface KeyLocation {
    readonly share: number;
    readonly keyTimeMs: number;
    /** Service and key, joined into one string. */
    readonly id: string;
}
