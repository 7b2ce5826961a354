import type { ServerState } from "./server-state.js";

// What does not depend on the registration. Loads, sends and connections say nothing after a lapse.
type KeptField =
    | "isUsed"
    | "failures"
    | "failuresAtMs"
    | "failuresInRow"
    | "ejections"
    | "ejectedUntilMs"
    | "requestLimit"
    | "backoffUntilMs";

/** What a backend server that is no longer registered has said or shown. It holds if the same start is registered again. */
export interface FormerServer extends Pick<ServerState, KeptField> {
    readonly instanceId: string;
    readonly startedAtUnixMs: number;
    readonly service: string;
    readonly updatedAtMs: number;
}
