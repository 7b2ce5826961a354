import { parseTargets } from "@marigoldstall/config.targets";
import { MarigoldstallError } from "@marigoldstall/core.error";
import type { AcceptedConfiguration } from "@marigoldstall/core.types";
import { RpcClient } from "@marigoldstall/fleet.rpc";
import * as DecodeResult from "effect/Result";
import * as Schema from "effect/Schema";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { DaemonClient } from "./daemon-client.js";
import type { DaemonStatus } from "./daemon-status.js";
import type { LoggedDecision } from "./logged-decision.js";
import { statusSchema } from "./status-schema.js";

const TIMEOUT_MS = 3000;

const optionalString = Schema.optionalKey(Schema.UndefinedOr(Schema.String));
const explainSchema = Schema.Struct({
    decisions: Schema.Array(Schema.Struct({
        concern: Schema.String,
        wallMs: Schema.Finite,
        decision: Schema.Struct({
            kind: Schema.String,
            requestId: optionalString,
            service: optionalString,
            className: optionalString,
            candidates: Schema.Array(Schema.String),
            choice: optionalString,
            reason: Schema.String,
        }),
    })),
});
const configurationSchema = Schema.Struct({
    configuration: Schema.optionalKey(Schema.Struct({
        version: Schema.Int,
        offset: Schema.Int,
        publishId: Schema.String,
        author: Schema.String,
        digest: Schema.String,
        targets: Schema.Unknown,
    })),
});

const decodeResponse = <T>(value: unknown, opts: {
    readonly schema: Schema.ConstraintDecoder<T>;
    readonly method: string;
    readonly address: string;
}): Result<T, MarigoldstallError> => {
    const decoded = Schema.decodeUnknownResult(opts.schema)(value);
    return DecodeResult.isSuccess(decoded) ? ok(decoded.success) : err(
        new MarigoldstallError({
            code: "DAEMON_ANSWER_INVALID",
            message: `unexpected response from the daemon: ${decoded.failure.message}`,
            step: opts.method,
            peer: opts.address,
            hint: "use the same release of the tool and the daemons",
        }),
    );
};

/** {@link DaemonClient} that uses JSON-RPC. */
export class RpcDaemonClient extends DaemonClient {
    private readonly rpc: RpcClient;

    constructor(opts: { readonly controlKey: string; }) {
        super();
        this.rpc = new RpcClient({ key: opts.controlKey });
    }

    override async readStatus(address: string): Promise<Result<DaemonStatus, MarigoldstallError>> {
        const method = "status.get";
        const response = await this.rpc.call(address, { method, params: {}, timeoutMs: TIMEOUT_MS });
        return response.andThen(value => decodeResponse(value, { schema: statusSchema, method, address })).map(
            status => ({
                ...status,
                configurationVersion: status.configurationVersion,
                probesPerSecond: status.probesPerSecond,
                classes: status.classes.map(report => ({
                    ...report,
                    atTargetPercentileMs: report.atTargetPercentileMs,
                })),
            }),
        );
    }

    override async explain(
        address: string,
        opts: { readonly requestId: string; },
    ): Promise<Result<readonly LoggedDecision[], MarigoldstallError>> {
        const method = "explain.get";
        const response = await this.rpc.call(address, { method, params: opts, timeoutMs: TIMEOUT_MS });
        return response.andThen(value => decodeResponse(value, { schema: explainSchema, method, address }))
            .map(({ decisions }) =>
                decisions.map(({ concern, wallMs, decision }) => ({
                    concern,
                    wallMs,
                    decision: {
                        ...decision,
                        requestId: decision.requestId,
                        service: decision.service,
                        className: decision.className,
                        choice: decision.choice,
                    },
                }))
            );
    }

    override async fetchConfiguration(
        address: string,
    ): Promise<Result<AcceptedConfiguration | undefined, MarigoldstallError>> {
        const method = "configuration.fetch";
        const response = await this.rpc.call(address, { method, params: {}, timeoutMs: TIMEOUT_MS });
        return response.andThen(value => decodeResponse(value, { schema: configurationSchema, method, address }))
            .andThen(({ configuration }) =>
                configuration === undefined
                    ? ok(undefined)
                    : parseTargets(configuration.targets).map(targets => ({ ...configuration, targets }))
            );
    }

    override close(): void {
        this.rpc.close();
    }
}
