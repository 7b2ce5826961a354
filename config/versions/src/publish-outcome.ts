import type { MarigoldstallError } from "@marigoldstall/core.error";
import type { AcceptedConfiguration } from "@marigoldstall/core.types";
import type { PublishRecord } from "./publish-record.js";

/** How publishing ended. */
export type PublishOutcome =
    | {
        /** The record was read back and is valid: it can never revert. */
        readonly type: "accepted";
        readonly configuration: AcceptedConfiguration;
        readonly newest: AcceptedConfiguration;
    }
    | {
        /** Another version came first. This record did not take effect and never will. */
        readonly type: "conflict";
        readonly winner: AcceptedConfiguration | undefined;
        readonly publishId: string | undefined;
    }
    | {
        /** The record may have been written, or may still be. */
        readonly type: "unknown";
        readonly publishId: string;
        readonly error: MarigoldstallError | undefined;
        /** Newest version, when it shows that the record can have no effect from now on. */
        readonly supersededBy: AcceptedConfiguration | undefined;
    }
    | {
        /** Nothing was written. */
        readonly type: "failed";
        readonly error: MarigoldstallError;
    }
    | {
        readonly type: "planned";
        readonly record: PublishRecord;
        readonly parent: AcceptedConfiguration | undefined;
    };
