import type { Evidence, Pressure, VmList } from "@marigoldstall/core.types";
import type { Heartbeat } from "./heartbeat.js";

/** Events that {@link reduceMembership} handles. */
export type MembershipEvent =
    | { readonly type: "vm-list-read"; readonly atMs: number; readonly vmList: VmList; }
    | {
        readonly type: "heartbeat-received";
        readonly atMs: number;
        readonly rpcId: string;
        readonly heartbeat: Heartbeat;
    }
    | {
        readonly type: "heartbeat-answered";
        readonly atMs: number;
        readonly peerAddress: string;
        /** Undefined when the peer did not answer. */
        readonly heartbeat: Heartbeat | undefined;
    }
    | {
        /** This daemon observed the evidence itself, instead of receiving it from a peer. */
        readonly type: "evidence-observed";
        readonly atMs: number;
        readonly evidence: Evidence;
    }
    | { readonly type: "evidence-received"; readonly atMs: number; readonly evidence: readonly Evidence[]; }
    | { readonly type: "configuration-changed"; readonly atMs: number; readonly version: number; }
    | { readonly type: "pressure-measured"; readonly atMs: number; readonly pressure: readonly Pressure[]; }
    | { readonly type: "stop-started"; readonly atMs: number; }
    | {
        /** Dispatched once a second. */
        readonly type: "tick";
        readonly atMs: number;
        readonly random: number;
    };
