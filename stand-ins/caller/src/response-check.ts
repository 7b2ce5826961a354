/**
 * Result of checking a response body against its call: `own` matches it, `foreign` echoes another call, `damaged` is
 * incomplete or malformed, `none` means that there was no body from a backend server to check.
 */
export type ResponseCheck = "own" | "foreign" | "damaged" | "none";
