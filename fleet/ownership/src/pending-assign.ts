import type { OwnershipRecord } from "./ownership-record.js";

/** An `assign` record that this daemon has sent and not yet seen decided in the log. */
export interface PendingAssign {
    readonly record: Extract<OwnershipRecord, { type: "assign"; }>;
    readonly createdAtMs: number;
    readonly nextSendAtMs: number;
}
