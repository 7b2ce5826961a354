import type { Evidence, Pressure } from "@marigoldstall/core.types";
import type { Member } from "./member.js";

/** What a daemon tells a peer about itself, and about the daemons that it has heard of. */
export interface Heartbeat {
    readonly sender: Member;
    /** The sender is shutting down and takes no new shares. */
    readonly stopping: boolean;
    /** Version in force at the sender, 0 when there is none. */
    readonly configurationVersion: number;
    readonly pressure: readonly Pressure[];
    readonly evidence: readonly Evidence[];
    /** Highest beat counter that the sender knows of each live daemon, its own included. */
    readonly beats: readonly { readonly member: Member; readonly beat: number; }[];
}
