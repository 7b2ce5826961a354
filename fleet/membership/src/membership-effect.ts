import type { Decision, Evidence, Pressure } from "@marigoldstall/core.types";
import type { Heartbeat } from "./heartbeat.js";
import type { Member } from "./member.js";

/** Effects that {@link reduceMembership} returns. */
export type MembershipEffect =
    | { readonly type: "send-heartbeat"; readonly peerAddress: string; readonly heartbeat: Heartbeat; }
    | { readonly type: "answer-heartbeat"; readonly rpcId: string; readonly heartbeat: Heartbeat; }
    | { readonly type: "send-evidence"; readonly peerAddress: string; readonly evidence: readonly Evidence[]; }
    | { readonly type: "members-changed"; readonly members: readonly Member[]; }
    | { readonly type: "peer-version-heard"; readonly peerAddress: string; readonly version: number; }
    | { readonly type: "evidence-heard"; readonly evidence: readonly Evidence[]; }
    | { readonly type: "pressure-heard"; readonly pressure: readonly Pressure[]; }
    | { readonly type: "log-decision"; readonly decision: Decision; };
