import type { Confirmation } from "./confirmation.js";
import type { KnownConfiguration } from "./known-configuration.js";
import type { KnownServer } from "./known-server.js";
import type { RegistrationChange } from "./registration-change.js";

/** How the reading of one topic stands. */
interface TopicReading {
    /** Offset to read from next; absent before the first list. */
    readonly nextOffset: number | undefined;
    /** The store had nothing newer than this view at that time. */
    readonly confirmedAtMs: number;
    /** The read that showed this. */
    readonly confirmation: Confirmation | undefined;
    /** Newest read of each reader that was heard of. */
    readonly heardReads: ReadonlyMap<string, number>;
    readonly isReading: boolean;
    readonly startedAtMs: number;
    readonly failedAtMs: number;
}

/** State of the view. */
export interface ViewState {
    /** Names the reads of this daemon. */
    readonly readerId: string;
    /** Interval at which backend servers renew their registration. */
    readonly heartbeatMs: number;
    /** Before this time and the reading delay of its rank, a VM without a view waits for the others to tell theirs. */
    readonly firstReadAtMs: number;
    readonly servers: ReadonlyMap<string, KnownServer>;
    readonly configuration: KnownConfiguration | undefined;
    readonly registrationReading: TopicReading;
    readonly configurationReading: TopicReading;
    /** The newest changes, oldest first, to be told to peers. */
    readonly recentChanges: readonly RegistrationChange[];
    /** A view at this offset needs only the recent changes. */
    readonly recentBaseOffset: number;
    /** End of the last time for which the store could not be read. */
    readonly outageEndedAtMs: number;
    readonly fetchedSnapshotAtMs: number;
    readonly fetchedConfigurationAtMs: number;
}
