import type { Evidence, Pressure } from "@marigoldstall/core.types";
import type { Member } from "./member.js";
import type { Peer } from "./peer.js";

/** State of the membership slice. */
export interface MembershipState {
    readonly self: Member;
    readonly stopping: boolean;
    readonly beat: number;
    readonly configurationVersion: number;
    readonly pressure: readonly Pressure[];
    /** Other daemons by VM id. */
    readonly peers: ReadonlyMap<string, Peer>;
    /** Recent evidence, oldest first. */
    readonly evidence: readonly { readonly evidence: Evidence; readonly heardAtMs: number; }[];
    readonly startedAtMs: number;
    readonly tickedAtMs: number;
    /** Undefined before the first read. */
    readonly vmList: {
        readonly asOfMs: number;
        /** When `asOfMs` last rose, on this daemon's clock. */
        readonly changedAtMs: number;
        readonly entryCount: number;
    } | undefined;
    /** Members that the other slices were told about; undefined while the picture is still incomplete. */
    readonly members: readonly Member[] | undefined;
}
