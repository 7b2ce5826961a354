import type { StoredResponse } from "./stored-response.js";

/** Estimates the size of a stored response in memory. */
export const estimateResponseBytes = (response: StoredResponse | undefined): number =>
    response === undefined ? 0 : response.headers.reduce(
        (sum, [name, value]) => sum + name.length + value.length + 32,
        64 + (response.bodyBase64?.length ?? 0),
    );
