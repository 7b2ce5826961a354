/** Returns Unix milliseconds with sub-millisecond resolution, to order and measure short runs. */
export const nowMs = (): number => performance.timeOrigin + performance.now();
