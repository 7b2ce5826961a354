import * as Option from "effect/Option";
import * as Schema from "effect/Schema";
import type { OwnershipRecord } from "./ownership-record.js";
import { SHARE_COUNT } from "./share-count.js";

const daemon = Schema.Struct({ vmId: Schema.NonEmptyString, incarnation: Schema.NonEmptyString });
const share = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: SHARE_COUNT - 1 }));
const term = Schema.Int.check(Schema.isGreaterThanOrEqualTo(1));
const offset = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));
const timeMs = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));

const assign = Schema.Struct({
    type: Schema.Literal("assign"),
    recordId: Schema.NonEmptyString,
    writer: daemon,
    basis: Schema.Literals(["owner", "guardian", "expired", "bootstrap"]),
    restartAtOffset: Schema.optionalKey(offset),
    entries: Schema.Array(
        Schema.Struct({
            share,
            term,
            owner: daemon,
            guardian: Schema.optionalKey(daemon),
            fromMs: timeMs,
            capMs: timeMs,
        }),
    ),
});

const extend = Schema.Struct({
    type: Schema.Literal("extend"),
    recordId: Schema.NonEmptyString,
    writer: daemon,
    entries: Schema.Array(Schema.Struct({ share, term, boundMs: timeMs, capMs: timeMs })),
});

const snapshot = Schema.Struct({
    type: Schema.Literal("snapshot"),
    recordId: Schema.NonEmptyString,
    throughOffset: offset,
    terms: Schema.Array(
        Schema.Struct({
            share,
            term,
            owner: daemon,
            guardian: Schema.optionalKey(Schema.UndefinedOr(daemon)),
            fromMs: timeMs,
            capMs: timeMs,
            boundMs: timeMs,
        }),
    ),
});

const decode = Schema.decodeUnknownOption(Schema.Union([assign, extend, snapshot]));

/** Validates the format of a record. Returns undefined when the format is unknown; such records are ignored. */
export const decodeOwnershipRecord = (value: unknown): OwnershipRecord | undefined => {
    const record = Option.getOrUndefined(decode(value));
    if (record?.type !== "snapshot") {
        return record;
    }
    return { ...record, terms: record.terms.map(entry => ({ ...entry, guardian: entry.guardian })) };
};
