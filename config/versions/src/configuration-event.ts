import type { AcceptedConfiguration } from "@marigoldstall/core.types";

/** Events of the configuration slice. */
export type ConfigurationEvent =
    | {
        /** Result of reading the `configuration` stream. The `value` of each record is unvalidated JSON. */
        readonly type: "log-read";
        readonly atMs: number;
        /** When the read was sent. A read sent before a pause does not confirm the version after the pause. */
        readonly startedAtMs: number;
        /** Requested offset. */
        readonly from: number;
        /** Era of the log at the time of the read, 0 if omitted. */
        readonly era?: number;
        readonly firstOffset: number;
        readonly nextOffset: number;
        readonly records: readonly { readonly offset: number; readonly value: unknown; }[];
    }
    | { readonly type: "log-unavailable"; readonly atMs: number; }
    | {
        /** A peer reported its active version. */
        readonly type: "peer-version-heard";
        readonly atMs: number;
        readonly peerAddress: string;
        readonly version: number;
    }
    | {
        readonly type: "configuration-fetched";
        readonly atMs: number;
        readonly peerAddress: string;
        /** Undefined when the fetch failed or the peer has no configuration. */
        readonly configuration: AcceptedConfiguration | undefined;
    }
    | {
        readonly type: "tick";
        readonly atMs: number;
        /** Reveals a pause that the monotonic clock does not count, such as a suspended VM. */
        readonly wallMs: number;
        /** Whether this daemon has the lowest VM id among live members, and so writes snapshots. */
        readonly writesSnapshots: boolean;
        /** Retention time of the log, `platform.logRetentionMs` of the settings. */
        readonly retentionMs: number;
    };
