/**
 * Position in a topic of the store. When the store is restored from an older copy, a new era begins and offsets are given
 * out again, so an offset has a meaning only together with its era.
 */
export interface StorePosition {
    readonly era: number;
    readonly offset: number;
}
