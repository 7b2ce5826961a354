import type { MarigoldstallError } from "@marigoldstall/core.error";
import type { AcceptedConfiguration } from "@marigoldstall/core.types";
import type { PublishRecord } from "./publish-record.js";

/** Final result of publishing. */
export type PublishOutcome =
    | {
        /** The record was read back and is valid, which is final. */
        readonly type: "accepted";
        readonly configuration: AcceptedConfiguration;
        readonly newest: AcceptedConfiguration;
    }
    | {
        /** Another record was accepted first. This one did not take effect and never will. */
        readonly type: "conflict";
        readonly winner: AcceptedConfiguration | undefined;
        readonly publishId: string | undefined;
    }
    | {
        /** The record may have been written, or may still be written by a delayed append. */
        readonly type: "unknown";
        readonly publishId: string;
        readonly error: MarigoldstallError | undefined;
        /** Newest version, if it rules out that the record takes effect from now on. */
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
