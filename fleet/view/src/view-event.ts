import type { Confirmation } from "./confirmation.js";
import type { KnownConfiguration } from "./known-configuration.js";
import type { RegistrationChange } from "./registration-change.js";
import type { StorePosition } from "./store-position.js";
import type { ViewSnapshot } from "./view-snapshot.js";
import type { ViewSummary } from "./view-summary.js";
import type { ZoneEvacuation } from "./zone-evacuation.js";

/** Events of the view reducer. `atMs` is the daemon's monotonic clock. */
export type ViewEvent =
    | {
        /** `readDelayMs` is how much longer than the first reader this VM waits before it reads the store itself. */
        readonly type: "view-tick";
        readonly atMs: number;
        readonly readDelayMs: number;
    }
    /** The seeds have sent their views or cannot be reached, so the VM may read its first view from the store. */
    | { readonly type: "seeds-asked"; readonly atMs: number; }
    /** The VM was suspended for a time that the clock did not count. */
    | { readonly type: "resumed"; readonly atMs: number; readonly uncountedMs: number; }
    | {
        readonly type: "registrations-read";
        readonly atMs: number;
        readonly startedAtMs: number;
        /** Era of the response. The offsets of the changes belong to it. */
        readonly era: number;
        readonly from: StorePosition;
        readonly changes: readonly RegistrationChange[];
        readonly nextOffset: number;
        readonly endOffset: number;
    }
    | {
        readonly type: "registrations-listed";
        readonly atMs: number;
        readonly startedAtMs: number;
        readonly era: number;
        readonly registrations: readonly RegistrationChange[];
        readonly nextOffset: number;
    }
    | {
        /** `configuration` is undefined if the topic holds none, nothing newer was read, or the record is malformed. */
        readonly type: "configuration-read";
        readonly atMs: number;
        readonly startedAtMs: number;
        readonly era: number;
        /** Undefined if the topic was listed. */
        readonly from: StorePosition | undefined;
        readonly configuration: KnownConfiguration | undefined;
        /** Records on zones, in the order of their offsets. */
        readonly evacuations?: readonly {
            readonly zone: string;
            readonly offset: number;
            readonly isEvacuated: boolean;
        }[];
        readonly nextOffset: number;
        /** End of the topic when it was read. Undefined if the topic was listed, as a list is always complete. */
        readonly endOffset?: number | undefined;
    }
    | {
        readonly type: "store-read-failed";
        readonly atMs: number;
        readonly topic: "registrations" | "configuration";
        /** Whether the requested records were deleted, so that the topic must be listed again. */
        readonly isExpired: boolean;
        /** Era of the response, if there was one. */
        readonly era?: number | undefined;
    }
    | {
        readonly type: "view-summary-received";
        readonly atMs: number;
        readonly peerAddress: string;
        readonly summary: ViewSummary;
    }
    | { readonly type: "view-snapshot-received"; readonly atMs: number; readonly snapshot: ViewSnapshot; }
    | {
        readonly type: "peer-configuration-received";
        readonly atMs: number;
        readonly configuration: KnownConfiguration;
        /** How long ago the read identified by `confirmation` showed that the store had nothing newer. */
        readonly ageMs: number;
        readonly confirmation: Confirmation | undefined;
        readonly evacuations?: readonly ZoneEvacuation[] | undefined;
    };
