/** Length of the body prefix in the fingerprint of an idempotency key. This prefix has to be buffered. */
export const FINGERPRINT_BYTES = 65_536;
