import type { MarigoldstallError } from "@marigoldstall/core.error";
import type { AcceptedConfiguration } from "@marigoldstall/core.types";
import type { Fold } from "./fold.js";
import type { PublishOptions } from "./publish-options.js";
import type { PublishRecord } from "./publish-record.js";

/** State of one run of publishing. */
export interface PublishState {
    readonly opts: PublishOptions;
    readonly fold: Fold;
    /** The record to publish; fixed once it may have been written. */
    readonly record: PublishRecord | undefined;
    /** The record of this run or of the run that is resumed, found valid in the log. */
    readonly published: AcceptedConfiguration | undefined;
    /** Another record that took the version of this one. */
    readonly winner: AcceptedConfiguration | undefined;
    /** Whether the only offset at which a restart is valid was read, and held another record. */
    readonly isRestartOffsetTaken: boolean;
    readonly appendedAtOffset: number | undefined;
    /** Whether a copy of the record may be in the log, or may still arrive there. */
    readonly mayBeWritten: boolean;
    readonly appendCount: number;
    readonly failureCount: number;
    readonly lastError: MarigoldstallError | undefined;
}
