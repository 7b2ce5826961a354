/** Number of partitions of the idempotency keys. Changing it requires a new stream, as keys move between shares. */
export const SHARE_COUNT = 64;
