import { timingSafeEqual } from "node:crypto";

/** Compares a signature header with the expected signature in constant time. */
export const matchesSignature = (header: unknown, expected: Buffer): boolean => {
    if (typeof header !== "string" || !/^[0-9a-f]{64}$/.test(header)) {
        return false;
    }
    return timingSafeEqual(Buffer.from(header, "hex"), expected);
};
