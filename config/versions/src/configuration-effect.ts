import type { AcceptedConfiguration, Decision } from "@marigoldstall/core.types";

/** Effects of the configuration slice. */
export type ConfigurationEffect =
    | {
        /** A newer version became active at this daemon. */
        readonly type: "apply-configuration";
        readonly configuration: AcceptedConfiguration;
    }
    | { readonly type: "fetch-configuration"; readonly peerAddress: string; }
    | { readonly type: "append-configuration-snapshot"; readonly value: unknown; }
    | {
        /** The version may be outdated after a pause: cancels the long poll and reads the log immediately. */
        readonly type: "confirm-configuration";
    }
    | { readonly type: "log-decision"; readonly decision: Decision; };
