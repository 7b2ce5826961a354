import type { StoredResponse } from "./stored-response.js";

/** What the owner knows about a key that was claimed or released. */
export interface KeyEntry {
    readonly status: "granted" | "completed" | "unknown" | "released";
    readonly fingerprint: string;
    /** The runner and request that hold the grant, or held it when it was settled. */
    readonly holder: string;
    /** From this monotonic time a grant that was not settled is reported as unknown. */
    readonly unknownFromMs: number;
    readonly response: StoredResponse | undefined;
    readonly storedBytes: number;
    /** Holders that have stated that they do not send; a late copy of their claim gets no grant. */
    readonly endedHolders: readonly string[];
}
