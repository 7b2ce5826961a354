import type { BackendServer } from "@marigoldstall/core.types";
import type { StorePosition } from "./store-position.js";

/**
 * A registration in a restored copy that is older than what was known of the server before, such as its removal. The
 * registration of a server that has left expires, so a withheld one comes into use only if it is still there after that.
 */
export interface WithheldServer {
    readonly server: BackendServer;
    readonly position: StorePosition;
    readonly untilMs: number;
    /** Whether the same process is still in use, and only its registration may be older than what is known of it. */
    readonly isInUse: boolean;
}
