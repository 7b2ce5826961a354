import type { RoutingConfiguration } from "@marigoldstall/core.types";
import type { RegistrationChange } from "./registration-change.js";

/** Effects of the view reducer. */
export type ViewEffect =
    | {
        /** Reads a topic from an offset on, or lists it if no offset is given. */
        readonly type: "read-store";
        readonly topic: "registrations" | "configuration";
        readonly fromOffset: number | undefined;
    }
    | { readonly type: "fetch-view-snapshot"; readonly peerAddress: string; }
    | { readonly type: "fetch-peer-configuration"; readonly peerAddress: string; }
    | { readonly type: "servers-changed"; readonly changes: readonly RegistrationChange[]; readonly source: string; }
    | { readonly type: "configuration-adopted"; readonly configuration: RoutingConfiguration; }
    | { readonly type: "store-lost"; readonly topic: string; readonly ageMs: number; }
    | { readonly type: "store-regained"; readonly topic: string; readonly outageMs: number; };
