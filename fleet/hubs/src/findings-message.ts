import type { Findings } from "./findings.js";

/** Findings, sent by a member to its hub, and by a hub to its members and the other hubs. */
export interface FindingsMessage extends Findings {
    readonly type: "findings";
    readonly vmId: string;
}
