import type { BackendServer } from "@marigoldstall/core.types";
import type { DepartedServer } from "./departed-server.js";

/** What is remembered of a server that was removed. */
export const toDepartedServer = (server: BackendServer, removedAtMs: number): DepartedServer => ({
    startedAtUnixMs: server.startedAtUnixMs,
    isDraining: server.isDraining,
    removedAtMs,
});
