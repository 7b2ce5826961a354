import type { RoutingConfiguration } from "@marigoldstall/core.types";
import type { RegistrationChange } from "./registration-change.js";
import type { StorePosition } from "./store-position.js";

/** Effects of the view reducer. */
export type ViewEffect =
    | {
        /** Reads a topic from a position on, or lists it if no position is given. */
        readonly type: "read-store";
        readonly topic: "registrations" | "configuration";
        readonly from: StorePosition | undefined;
    }
    | { readonly type: "fetch-view-snapshot"; readonly peerAddress: string; }
    | { readonly type: "fetch-peer-configuration"; readonly peerAddress: string; }
    | { readonly type: "servers-changed"; readonly changes: readonly RegistrationChange[]; readonly source: string; }
    | {
        /** Zones were evacuated or are back in service. */
        readonly type: "evacuations-changed";
        /** All zones that are evacuated now. */
        readonly zones: readonly string[];
        readonly evacuatedZones: readonly string[];
        readonly restoredZones: readonly string[];
        readonly source: string;
    }
    | { readonly type: "configuration-adopted"; readonly configuration: RoutingConfiguration; }
    /** The store was restored from an older copy, so what it had accepted since the copy is lost. */
    | { readonly type: "store-restored"; readonly era: number; readonly previousEra: number; }
    /** A response from before the latest restore of the store was ignored. */
    | { readonly type: "outdated-read-ignored"; readonly topic: string; readonly era: number; }
    | { readonly type: "store-lost"; readonly topic: string; readonly ageMs: number; }
    | { readonly type: "store-regained"; readonly topic: string; readonly outageMs: number; };
