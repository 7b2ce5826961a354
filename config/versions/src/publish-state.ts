import type { MarigoldstallError } from "@marigoldstall/core.error";
import type { AcceptedConfiguration } from "@marigoldstall/core.types";
import type { Fold } from "./fold.js";
import type { PublishOptions } from "./publish-options.js";
import type { PublishRecord } from "./publish-record.js";

/** State of one run of publishing. */
export interface PublishState {
    readonly opts: PublishOptions;
    /** Era of the log as of the last read. Undefined before the first one. */
    readonly era: number | undefined;
    readonly fold: Fold;
    /** The record to publish. It does not change once it may have been written. */
    readonly record: PublishRecord | undefined;
    /** The record of this run or of the resumed run, once the log shows that it is valid. */
    readonly published: AcceptedConfiguration | undefined;
    /** Another record that was accepted with the same version. */
    readonly winner: AcceptedConfiguration | undefined;
    /** Whether another record was read at the only offset at which the restart is valid. */
    readonly isRestartOffsetTaken: boolean;
    readonly appendedAtOffset: number | undefined;
    /** Whether a copy of the record may be in the log, or may still be written. */
    readonly mayBeWritten: boolean;
    readonly appendCount: number;
    readonly failureCount: number;
    readonly lastError: MarigoldstallError | undefined;
}
