import type { Confirmation } from "./confirmation.js";
import type { KnownConfiguration } from "./known-configuration.js";
import type { KnownServer } from "./known-server.js";
import type { RegistrationChange } from "./registration-change.js";

/** Read progress of a topic. */
interface TopicReading {
    /** Offset of the next record to read. Undefined until the topic was listed. */
    readonly nextOffset: number | undefined;
    /** Last time at which the store is known to have had nothing newer than this view. */
    readonly confirmedAtMs: number;
    /** The read that showed this, by this daemon or by a peer. */
    readonly confirmation: Confirmation | undefined;
    /** Highest known read number by reader id. */
    readonly latestReadNumbers: ReadonlyMap<string, number>;
    readonly isReading: boolean;
    readonly startedAtMs: number;
    readonly failedAtMs: number;
}

/** State of the view reducer. */
export interface ViewState {
    /** Identifies the reads of this daemon. */
    readonly readerId: string;
    /** Interval at which backend servers renew their registration. */
    readonly heartbeatMs: number;
    /** A VM without a view waits until this time plus its read delay for the view of a peer. */
    readonly firstReadAtMs: number;
    readonly servers: ReadonlyMap<string, KnownServer>;
    readonly configuration: KnownConfiguration | undefined;
    readonly registrationReading: TopicReading;
    readonly configurationReading: TopicReading;
    /** The latest changes for the summaries sent to peers, oldest first. */
    readonly recentChanges: readonly RegistrationChange[];
    /** A peer whose view has reached this offset needs only the recent changes. */
    readonly recentBaseOffset: number;
    /** When the last outage of the store ended. */
    readonly outageEndedAtMs: number;
    readonly snapshotRequestedAtMs: number;
    readonly configurationRequestedAtMs: number;
}
