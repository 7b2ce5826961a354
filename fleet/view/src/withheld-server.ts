import type { BackendServer } from "@marigoldstall/core.types";
import type { StorePosition } from "./store-position.js";

/**
 * A registration in a restored copy of a server that had been removed before. It expires unless the server is alive, so
 * it comes into use only if it is still there after that.
 */
export interface WithheldServer {
    readonly server: BackendServer;
    readonly position: StorePosition;
    readonly untilMs: number;
}
