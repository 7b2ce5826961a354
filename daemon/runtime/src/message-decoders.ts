import { parseTargets } from "@marigoldstall/config.targets";
import type { AcceptedConfiguration } from "@marigoldstall/core.types";
import type { PromiseReply, PromiseRequest } from "@marigoldstall/fleet.ownership";
import type { ClaimReply, ClaimRequest, SettleRequest } from "@marigoldstall/requests.ledger";
import * as Option from "effect/Option";
import * as Schema from "effect/Schema";

const Name = Schema.String.check(Schema.isMaxLength(256));
const Text = Schema.String.check(Schema.isMaxLength(131_072));
const Count = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }));
const Daemon = Schema.Struct({ vmId: Name, incarnation: Name });
const StatusCode = Schema.Int.check(Schema.isBetween({ minimum: 100, maximum: 599 }));
const Response = Schema.Struct({
    statusCode: StatusCode,
    headers: Schema.Array(Schema.Tuple([Name, Text])).check(Schema.isMaxLength(256)),
    bodyBase64: Schema.optional(Text),
});
const Promises = Schema.Array(Schema.Struct({ share: Count, term: Count, boundMs: Count }));

const decodeClaim = Schema.decodeUnknownOption(Schema.Struct({
    service: Name,
    key: Name,
    fingerprint: Name,
    requestId: Name,
    runner: Daemon,
    remainingMs: Schema.Finite,
}));
const decodeClaimReply = Schema.decodeUnknownOption(Schema.Union([
    Schema.Struct({ type: Schema.Literals(["granted", "in-progress", "unknown", "mismatch"]) }),
    Schema.Struct({ type: Schema.Literal("completed"), response: Schema.optional(Response) }),
    Schema.Struct({
        type: Schema.Literal("refused"),
        reasonCode: Name,
        retryAfterMs: Schema.optional(Schema.Finite),
    }),
]));
const decodeSettle = Schema.decodeUnknownOption(Schema.Struct({
    service: Name,
    key: Name,
    requestId: Name,
    runner: Daemon,
    outcome: Schema.Literals(["completed", "not-run", "unknown"]),
    response: Schema.optional(Response),
}));
const decodePromiseRequest = Schema.decodeUnknownOption(Schema.Struct({
    owner: Daemon,
    configurationVersion: Count,
    wantedBoundMs: Schema.Finite,
    shares: Schema.Array(Schema.Struct({ share: Count, term: Count })).check(Schema.isMaxLength(64)),
}));
const decodePromiseReply = Schema.decodeUnknownOption(Schema.Struct({
    guardian: Daemon,
    configurationVersion: Count,
    promises: Promises.check(Schema.isMaxLength(64)),
}));
const decodeConfiguration = Schema.decodeUnknownOption(Schema.Struct({
    version: Count,
    offset: Count,
    publishId: Name,
    author: Name,
    digest: Name,
    targets: Schema.Unknown,
}));

/** Decoders of the messages between daemons. They return undefined for a malformed message. */
export const messageDecoders = {
    claim: (value: unknown): ClaimRequest | undefined => Option.getOrUndefined(decodeClaim(value)),
    // JSON omits undefined fields, so absent fields are decoded as undefined.
    claimReply: (value: unknown): ClaimReply | undefined =>
        Option.getOrUndefined(decodeClaimReply(value)) as ClaimReply | undefined,
    settle: (value: unknown): SettleRequest | undefined =>
        Option.getOrUndefined(decodeSettle(value)) as SettleRequest | undefined,
    promiseRequest: (value: unknown): PromiseRequest | undefined => Option.getOrUndefined(decodePromiseRequest(value)),
    promiseReply: (value: unknown): PromiseReply | undefined => Option.getOrUndefined(decodePromiseReply(value)),
    configuration: (value: unknown): AcceptedConfiguration | undefined => {
        const decoded = Option.getOrUndefined(decodeConfiguration(value));
        const targets = decoded === undefined ? undefined : parseTargets(decoded.targets).unwrapOr(undefined);
        return decoded === undefined || targets === undefined ? undefined : { ...decoded, targets };
    },
};
