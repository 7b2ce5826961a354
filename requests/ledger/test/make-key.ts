/** Creates a UUIDv7 with the given key time and a numeric suffix that makes it unique. */
export const makeKey = (keyTimeMs: number, suffix: number): string => {
    const time = Math.floor(keyTimeMs).toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${suffix.toString(16).padStart(12, "0")}`;
};
