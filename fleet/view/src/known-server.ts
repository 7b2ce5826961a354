import type { BackendServer } from "@marigoldstall/core.types";

/** A backend server in the view. */
export interface KnownServer {
    readonly server: BackendServer;
    /** Offset of the latest change that was applied. */
    readonly offset: number;
    /** How long the server stays usable after its registration expired. Undefined while it is registered. */
    readonly retainedUntilMs: number | undefined;
}
