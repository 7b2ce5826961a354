import { digestTargets, parseTargets } from "@marigoldstall/config.targets";
import { MarigoldstallError } from "@marigoldstall/core.error";
import * as Result from "effect/Result";
import * as Schema from "effect/Schema";
import { err, ok } from "neverthrow";
import type { Result as ParseResult } from "neverthrow";
import type { ConfigurationRecord } from "./configuration-record.js";

const nonNegativeInteger = Schema.Number.check(
    Schema.makeFilter((value: number) => Number.isSafeInteger(value) && value >= 0),
);
const nonEmptyString = Schema.String.check(
    Schema.makeFilter((value: string) => value.length > 0 && value.length <= 200),
);
const publishSchema = Schema.Struct({
    publishId: nonEmptyString,
    version: nonNegativeInteger,
    parentVersion: nonNegativeInteger,
    author: nonEmptyString,
    targets: Schema.Unknown,
    restartAtOffset: Schema.optionalKey(nonNegativeInteger),
});
const snapshotSchema = Schema.Struct({
    snapshot: Schema.Struct({
        throughOffset: nonNegativeInteger,
        state: Schema.Struct({
            version: nonNegativeInteger,
            offset: nonNegativeInteger,
            publishId: nonEmptyString,
            author: nonEmptyString,
            digest: nonEmptyString,
            targets: Schema.Unknown,
        }),
    }),
});
const decodePublish = Schema.decodeUnknownResult(publishSchema);
const decodeSnapshot = Schema.decodeUnknownResult(snapshotSchema);

const fail = (message: string): MarigoldstallError =>
    new MarigoldstallError({ code: "CONFIGURATION_RECORD_INVALID", message, step: "parse configuration record" });

/** Validates a record of the `configuration` stream. The result must be the same for every reader of the record. */
export const parseConfigurationRecord = (value: unknown): ParseResult<ConfigurationRecord, MarigoldstallError> => {
    if (typeof value === "object" && value && "snapshot" in value) {
        const decoded = decodeSnapshot(value);
        if (Result.isFailure(decoded)) {
            return err(fail(decoded.failure.message));
        }
        const { throughOffset, state } = decoded.success.snapshot;
        return parseTargets(state.targets).andThen(targets =>
            digestTargets(targets) === state.digest
                ? ok({ type: "snapshot" as const, snapshot: { throughOffset, state: { ...state, targets } } })
                : err(fail("the digest of the snapshot does not match its targets"))
        );
    }
    const decoded = decodePublish(value);
    if (Result.isFailure(decoded)) {
        return err(fail(decoded.failure.message));
    }
    const publish = decoded.success;
    return parseTargets(publish.targets).map(targets => ({ type: "publish", publish: { ...publish, targets } }));
};
