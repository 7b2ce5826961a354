import type { AcceptedConfiguration, Decision } from "@marigoldstall/core.types";

/** Effects of the configuration slice. */
export type ConfigurationEffect =
    | {
        /** A newer version is in force at this daemon. */
        readonly type: "apply-configuration";
        readonly configuration: AcceptedConfiguration;
    }
    | { readonly type: "fetch-configuration"; readonly peerAddress: string; }
    | { readonly type: "append-configuration-snapshot"; readonly value: unknown; }
    | {
        /** The version is in doubt after a pause: cancel the long poll and read at once, without waiting. */
        readonly type: "confirm-configuration";
    }
    | { readonly type: "log-decision"; readonly decision: Decision; };
