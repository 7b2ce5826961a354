import type { Confirmation } from "./confirmation.js";
import type { KnownConfiguration } from "./known-configuration.js";
import type { RegistrationChange } from "./registration-change.js";
import type { ViewSnapshot } from "./view-snapshot.js";
import type { ViewSummary } from "./view-summary.js";

/** Events of the view. `atMs` is the daemon's monotonic clock. */
export type ViewEvent =
    | {
        /** Time passed. `readDelayMs` is how much longer than others this VM waits before it reads for itself. */
        readonly type: "view-tick";
        readonly atMs: number;
        readonly readDelayMs: number;
    }
    | {
        readonly type: "registrations-read";
        readonly atMs: number;
        readonly startedAtMs: number;
        readonly changes: readonly RegistrationChange[];
        readonly nextOffset: number;
        readonly endOffset: number;
    }
    | {
        readonly type: "registrations-listed";
        readonly atMs: number;
        readonly startedAtMs: number;
        readonly registrations: readonly RegistrationChange[];
        readonly nextOffset: number;
    }
    | {
        /** `configuration` is absent when the topic holds none or nothing newer. */
        readonly type: "configuration-read";
        readonly atMs: number;
        readonly startedAtMs: number;
        readonly configuration: KnownConfiguration | undefined;
        readonly nextOffset: number;
    }
    | {
        readonly type: "store-read-failed";
        readonly atMs: number;
        readonly topic: "registrations" | "configuration";
        /** The records asked for are gone, so that the topic has to be listed anew. */
        readonly isExpired: boolean;
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
        /** How long ago the store confirmed to the peer, in this read, that nothing newer existed. */
        readonly ageMs: number;
        readonly confirmation: Confirmation | undefined;
    };
