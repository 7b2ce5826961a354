import type { BackendServer } from "@marigoldstall/core.types";
import type { StorePosition } from "./store-position.js";

/** A backend server in the view. */
export interface KnownServer {
    readonly server: BackendServer;
    /** Position of the latest change that was applied. */
    readonly position: StorePosition;
    /** How long the server stays usable after its registration expired. Undefined while it is registered. */
    readonly retainedUntilMs: number | undefined;
}
