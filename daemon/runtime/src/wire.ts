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

const claim = Schema.decodeUnknownOption(Schema.Struct({
    service: Name,
    key: Name,
    fingerprint: Name,
    requestId: Name,
    runner: Daemon,
    remainingMs: Schema.Finite,
}));
const claimReply = Schema.decodeUnknownOption(Schema.Union([
    Schema.Struct({ type: Schema.Literals(["granted", "in-progress", "unknown", "mismatch"]) }),
    Schema.Struct({ type: Schema.Literal("completed"), response: Schema.optional(Response) }),
    Schema.Struct({
        type: Schema.Literal("refused"),
        reasonCode: Name,
        retryAfterMs: Schema.optional(Schema.Finite),
    }),
]));
const settle = Schema.decodeUnknownOption(Schema.Struct({
    service: Name,
    key: Name,
    requestId: Name,
    runner: Daemon,
    outcome: Schema.Literals(["completed", "not-run", "unknown"]),
    response: Schema.optional(Response),
}));
const promiseRequest = Schema.decodeUnknownOption(Schema.Struct({
    owner: Daemon,
    configurationVersion: Count,
    wantedBoundMs: Schema.Finite,
    shares: Schema.Array(Schema.Struct({ share: Count, term: Count })).check(Schema.isMaxLength(64)),
}));
const promiseReply = Schema.decodeUnknownOption(Schema.Struct({
    guardian: Daemon,
    configurationVersion: Count,
    promises: Promises.check(Schema.isMaxLength(64)),
}));
const accepted = Schema.decodeUnknownOption(Schema.Struct({
    version: Count,
    offset: Count,
    publishId: Name,
    author: Name,
    digest: Name,
    targets: Schema.Unknown,
}));

/** Readers of the messages between daemons. Each gives undefined for a malformed one. */
export const wire = {
    claim: (value: unknown): ClaimRequest | undefined => Option.getOrUndefined(claim(value)),
    // JSON leaves out undefined fields, so that absent ones are read as undefined.
    claimReply: (value: unknown): ClaimReply | undefined =>
        Option.getOrUndefined(claimReply(value)) as ClaimReply | undefined,
    settle: (value: unknown): SettleRequest | undefined =>
        Option.getOrUndefined(settle(value)) as SettleRequest | undefined,
    promiseRequest: (value: unknown): PromiseRequest | undefined => Option.getOrUndefined(promiseRequest(value)),
    promiseReply: (value: unknown): PromiseReply | undefined => Option.getOrUndefined(promiseReply(value)),
    configuration: (value: unknown): AcceptedConfiguration | undefined => {
        const decoded = Option.getOrUndefined(accepted(value));
        const targets = decoded === undefined ? undefined : parseTargets(decoded.targets).unwrapOr(undefined);
        return decoded === undefined || targets === undefined ? undefined : { ...decoded, targets };
    },
};
