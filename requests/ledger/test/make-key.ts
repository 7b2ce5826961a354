/** A UUIDv7 with a given key time, and a number that makes it unique. */
export const makeKey = (keyTimeMs: number, tail: number): string => {
    const time = Math.floor(keyTimeMs).toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail.toString(16).padStart(12, "0")}`;
};
