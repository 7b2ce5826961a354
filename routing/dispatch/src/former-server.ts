import type { ServerState } from "./server-state.js";

/** What a backend server that is no longer registered has said or shown. It holds if the same start is registered again. */
export interface FormerServer extends Pick<ServerState, "backoffUntilMs" | "requestLimit"> {
    readonly instanceId: string;
    readonly startedAtUnixMs: number;
    readonly service: string;
    readonly updatedAtMs: number;
}
