import type { Confirmation } from "./confirmation.js";
import type { DepartedServer } from "./departed-server.js";
import type { KnownConfiguration } from "./known-configuration.js";
import type { KnownServer } from "./known-server.js";
import type { RegistrationChange } from "./registration-change.js";
import type { StorePosition } from "./store-position.js";
import type { WithheldServer } from "./withheld-server.js";
import type { ZoneEvacuation } from "./zone-evacuation.js";

/** Read progress of a topic. */
interface TopicReading {
    /** Position of the next record to read. Undefined until the topic was listed. */
    readonly next: StorePosition | undefined;
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
    /** Latest era of the store in a response to this VM or to a peer. Undefined before the first response. */
    readonly storeEra: number | undefined;
    /** Whether this VM has seen the store change from one era to another. */
    readonly isRestoreSeen: boolean;
    /** Era of the latest complete list of registrations. */
    readonly listedEra: number | undefined;
    /** End of the first list of that era. Records from this offset on were written after the restore. */
    readonly eraStartOffset: number;
    /** Whether the first list of the era came from the store, and no peer has told yet which of its servers have left. */
    readonly isListUnchecked: boolean;
    readonly servers: ReadonlyMap<string, KnownServer>;
    readonly withheld: ReadonlyMap<string, WithheldServer>;
    readonly departed: ReadonlyMap<string, DepartedServer>;
    readonly configuration: KnownConfiguration | undefined;
    /** Latest known record of the operator on each zone, also of zones that are back in service. */
    readonly evacuations: ReadonlyMap<string, ZoneEvacuation>;
    readonly registrationReading: TopicReading;
    readonly configurationReading: TopicReading;
    /** The latest changes for the summaries sent to peers, oldest first. */
    readonly recentChanges: readonly RegistrationChange[];
    /** A peer whose view has reached this position needs only the recent changes. */
    readonly recentBase: StorePosition;
    /** When the last outage of the store ended. */
    readonly outageEndedAtMs: number;
    /** When the VM was last resumed, and for how long it had been suspended without the clock counting. */
    readonly lastResume: { readonly atMs: number; readonly uncountedMs: number; } | undefined;
    readonly snapshotRequestedAtMs: number;
    readonly configurationRequestedAtMs: number;
}
