import type { OwnershipRecord } from "./ownership-record.js";

/** An `assign` record of this daemon whose entries are not yet decided in the log. */
export interface PendingAssign {
    readonly record: Extract<OwnershipRecord, { type: "assign"; }>;
    readonly createdAtMs: number;
    readonly nextSendAtMs: number;
}
