import type { StoredResponse } from "./stored-response.js";

/** State of a claimed or released key in the owner's table. */
export interface KeyEntry {
    readonly status: "granted" | "completed" | "unknown" | "released";
    readonly fingerprint: string;
    /** Runner and request that hold the grant, or held it when it was settled. */
    readonly holder: string;
    /** Monotonic time from which an unsettled grant is reported as unknown. */
    readonly unknownFromMs: number;
    readonly response: StoredResponse | undefined;
    readonly storedBytes: number;
    /** Holders that released the key. A late copy of their claim is not granted. */
    readonly endedHolders: readonly string[];
}
