/** The part of a body that the fingerprint of an idempotency key covers, and that is therefore buffered. */
export const FINGERPRINT_BYTES = 65_536;
