/** Number of partitions of the idempotency keys. A change of it needs a new stream, as keys move between shares. */
export const SHARE_COUNT = 64;
