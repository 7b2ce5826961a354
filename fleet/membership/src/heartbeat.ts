import type { Evidence, Pressure } from "@marigoldstall/core.types";
import type { Member } from "./member.js";

/** Message in which a daemon reports its own state and the beat counters of the daemons that it knows. */
export interface Heartbeat {
    readonly sender: Member;
    /** The sender is shutting down and takes no new shares. */
    readonly stopping: boolean;
    /** Configuration version in force at the sender, 0 when it has none. */
    readonly configurationVersion: number;
    readonly pressure: readonly Pressure[];
    readonly evidence: readonly Evidence[];
    /** Highest known beat counter of the sender and of live daemons. */
    readonly beats: readonly { readonly member: Member; readonly beat: number; }[];
}
