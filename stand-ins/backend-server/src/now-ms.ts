/** Unix milliseconds with fractions, so that short runs can be told apart. */
export const nowMs = (): number => performance.timeOrigin + performance.now();
