import type { BackendServer } from "@marigoldstall/core.types";

/** A server whose registration was removed. A copy from which the store is restored may still contain it. */
export interface DepartedServer {
    readonly server: BackendServer;
    readonly removedAtMs: number;
}
