import type { BackendServer } from "@marigoldstall/core.types";

/** A backend server in the view. */
export interface KnownServer {
    readonly server: BackendServer;
    /** Offset of the change that brought this state. */
    readonly offset: number;
    /** Until when it stays usable although its registration is gone; absent while it is registered. */
    readonly heldUntilMs: number | undefined;
}
