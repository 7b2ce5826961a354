import type { AcceptedConfiguration } from "@marigoldstall/core.types";

/** Events of the configuration slice. */
export type ConfigurationEvent =
    | {
        /** A read of the `configuration` stream; `value` of each record is unchecked JSON. */
        readonly type: "log-read";
        readonly atMs: number;
        /** When the read was sent. A read sent before a pause does not confirm the version after it. */
        readonly startedAtMs: number;
        /** Offset that the read asked for. */
        readonly from: number;
        readonly firstOffset: number;
        readonly nextOffset: number;
        readonly records: readonly { readonly offset: number; readonly value: unknown; }[];
    }
    | { readonly type: "log-unavailable"; readonly atMs: number; }
    | {
        /** A peer stated the version that is in force there. */
        readonly type: "peer-version-heard";
        readonly atMs: number;
        readonly peerAddress: string;
        readonly version: number;
    }
    | {
        readonly type: "configuration-fetched";
        readonly atMs: number;
        readonly peerAddress: string;
        /** Undefined when the fetch failed or the peer has none. */
        readonly configuration: AcceptedConfiguration | undefined;
    }
    | {
        readonly type: "tick";
        readonly atMs: number;
        /** The wall clock shows a pause that the monotonic clock does not count, such as a suspended VM. */
        readonly wallMs: number;
        /** Whether this daemon has the lowest VM id among live members, and so writes snapshots. */
        readonly writesSnapshots: boolean;
        /** Retention time of the log, from the settings. */
        readonly retentionMs: number;
    };
