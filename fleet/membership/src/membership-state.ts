import type { Evidence, Pressure } from "@marigoldstall/core.types";
import type { Member } from "./member.js";
import type { Peer } from "./peer.js";

/** State of {@link reduceMembership}. */
export interface MembershipState {
    readonly self: Member;
    readonly stopping: boolean;
    readonly beat: number;
    readonly configurationVersion: number;
    readonly pressure: readonly Pressure[];
    /** Other daemons by VM id. */
    readonly peers: ReadonlyMap<string, Peer>;
    /** Recent evidence, oldest first. */
    readonly evidence: readonly { readonly evidence: Evidence; readonly receivedAtMs: number; }[];
    readonly startedAtMs: number;
    readonly lastTickAtMs: number;
    /** Undefined before the first read of the VM list. */
    readonly vmList: {
        readonly asOfMs: number;
        /** Time on this daemon's clock when `asOfMs` last increased. */
        readonly changedAtMs: number;
        readonly entryCount: number;
    } | undefined;
    /** Members last reported by `members-changed`; undefined until the first report. */
    readonly members: readonly Member[] | undefined;
}
