import { MarigoldstallError } from "@marigoldstall/core.error";
import type { DaemonId } from "@marigoldstall/core.types";
import type { RootEffect, RootEventBody, RootState } from "@marigoldstall/daemon.state";
import { parseEvidence, parseHeartbeat, selectAddress } from "@marigoldstall/fleet.membership";
import type { RpcClient } from "@marigoldstall/fleet.rpc";
import type { LogClient } from "@marigoldstall/platform.log-client";
import { messageDecoders } from "./message-decoders.js";
import type { Metrics } from "./metrics.js";

type EffectOf<Type extends RootEffect["type"]> = Extract<RootEffect, { readonly type: Type; }>;

// Hundreds of times a round trip between availability zones, and shorter than any caller waits.
const RPC_TIMEOUT_MS = 1_000;
// Longer, because a claim may wait at the owner until a bound is raised.
const CLAIM_RPC_TIMEOUT_MS = 3_000;
const REDUCER_ANSWER_TIMEOUT_MS = 5_000;

interface PendingAnswer {
    readonly resolve: (answer: unknown) => void;
    readonly timer: NodeJS.Timeout;
}

/** Outgoing and incoming calls between daemons, and appends to the log. */
export class FleetCalls {
    private readonly rpc: RpcClient;
    private readonly log: LogClient;
    private readonly metrics: Metrics;
    private readonly dispatch: (event: RootEventBody) => void;
    private readonly state: () => RootState;
    private readonly pendingAnswers = new Map<string, PendingAnswer>();
    private nextRpcId = 1;

    constructor(opts: {
        readonly rpc: RpcClient;
        readonly log: LogClient;
        readonly metrics: Metrics;
        readonly dispatch: (event: RootEventBody) => void;
        readonly state: () => RootState;
    }) {
        this.rpc = opts.rpc;
        this.log = opts.log;
        this.metrics = opts.metrics;
        this.dispatch = opts.dispatch;
        this.state = opts.state;
    }

    /** Handlers of the control port's methods whose result comes from the state or the reducer. */
    get methods(): Readonly<Record<string, (params: unknown) => unknown>> {
        return {
            "membership.heartbeat": params => {
                const heartbeat = this.requireParams(parseHeartbeat(params), "membership.heartbeat");
                return this.dispatchAndWait(rpcId => ({ type: "heartbeat-received", rpcId, heartbeat }));
            },
            "membership.evidence": params => {
                const evidence = this.requireParams(parseEvidence(params), "membership.evidence");
                this.dispatch({ type: "evidence-received", evidence });
                return {};
            },
            "configuration.fetch": () => ({ configuration: this.state().applied }),
            "ownership.promise": params => {
                const request = this.requireParams(messageDecoders.promiseRequest(params), "ownership.promise");
                return this.dispatchAndWait(rpcId => ({ type: "promise-requested", rpcId, request }));
            },
            "ledger.claim": params => {
                const request = this.requireParams(messageDecoders.claim(params), "ledger.claim");
                return this.dispatchAndWait(rpcId => ({ type: "claim-received", rpcId, request }));
            },
            "ledger.settle": params => {
                const request = this.requireParams(messageDecoders.settle(params), "ledger.settle");
                return this.dispatchAndWait(rpcId => ({ type: "settle-received", rpcId, request }));
            },
        };
    }

    /** Resolves an incoming call with the reducer's answer. */
    answer(rpcId: string, answer: unknown): void {
        const pending = this.pendingAnswers.get(rpcId);
        if (pending !== undefined) {
            this.pendingAnswers.delete(rpcId);
            clearTimeout(pending.timer);
            pending.resolve(answer);
        }
    }

    sendHeartbeat(effect: EffectOf<"send-heartbeat">): void {
        const { peerAddress } = effect;
        this.callAddress(peerAddress, "membership.heartbeat", effect.heartbeat, answer => {
            this.dispatch({ type: "heartbeat-answered", peerAddress, heartbeat: parseHeartbeat(answer) });
        });
    }

    sendEvidence(effect: EffectOf<"send-evidence">): void {
        this.callAddress(effect.peerAddress, "membership.evidence", { evidence: effect.evidence }, () => undefined);
    }

    fetchConfiguration(peerAddress: string): void {
        this.callAddress(peerAddress, "configuration.fetch", {}, answer => {
            const fetched = (answer as { readonly configuration?: unknown; } | undefined)?.configuration;
            this.dispatch({
                type: "configuration-fetched",
                peerAddress,
                configuration: messageDecoders.configuration(fetched),
            });
        });
    }

    requestPromise(effect: EffectOf<"request-promise">): void {
        this.callAddress(effect.guardian.address, "ownership.promise", effect.request, answer => {
            const reply = messageDecoders.promiseReply(answer);
            if (reply !== undefined) {
                this.dispatch({ type: "promise-answered", reply });
            }
        });
    }

    sendClaim(effect: EffectOf<"send-claim">): void {
        const { owner, request } = effect;
        const { requestId } = request;
        this.callDaemon(owner, "ledger.claim", request, answer => {
            this.dispatch({ type: "claim-answered", requestId, owner, reply: messageDecoders.claimReply(answer) });
        }, CLAIM_RPC_TIMEOUT_MS);
    }

    sendSettle(effect: EffectOf<"send-settle">): void {
        const { owner, request } = effect;
        const { requestId } = request;
        this.callDaemon(owner, "ledger.settle", request, answer => {
            this.dispatch({ type: "settle-answered", requestId, owner, received: answer !== undefined });
        });
    }

    appendOwnership(effect: EffectOf<"append-ownership-record">): void {
        const { recordId } = effect;
        void this.log.append("ownership", { value: effect.value }).then(result => {
            if (result.type !== "appended") {
                this.metrics.logFailures.inc({ stream: "ownership" });
            }
            this.dispatch({
                type: "append-settled",
                recordId,
                result: result.type === "refused" ? "failed" : result.type,
            });
        });
    }

    appendConfiguration(effect: EffectOf<"append-configuration-snapshot">): void {
        void this.log.append("configuration", { value: effect.value }).then(result => {
            if (result.type !== "appended") {
                this.metrics.logFailures.inc({ stream: "configuration" });
            }
        });
    }

    private callDaemon(
        daemon: DaemonId,
        method: string,
        params: unknown,
        callback: (answer: unknown) => void,
        timeoutMs?: number,
    ): void {
        const address = selectAddress(this.state().membership, { daemon });
        if (address === undefined) {
            // Deferred, so that the failure reaches the reducer only after all effects of the current event have run.
            setImmediate(callback, undefined);
            return;
        }
        this.callAddress(address, method, params, callback, timeoutMs);
    }

    private callAddress(
        address: string,
        method: string,
        params: unknown,
        callback: (answer: unknown) => void,
        timeoutMs = RPC_TIMEOUT_MS,
    ): void {
        void this.rpc.call(address, { method, params, timeoutMs }).then(result => {
            if (result.isErr()) {
                this.metrics.rpcFailures.inc({ method });
            }
            callback(result.unwrapOr(undefined));
        });
    }

    private dispatchAndWait(createEvent: (rpcId: string) => RootEventBody): Promise<unknown> {
        return new Promise((resolve, reject) => {
            const rpcId = String(this.nextRpcId++);
            const timer = setTimeout(() => {
                this.pendingAnswers.delete(rpcId);
                reject(new MarigoldstallError({ code: "NOT_ANSWERED", message: "no answer yet", step: "answer call" }));
            }, REDUCER_ANSWER_TIMEOUT_MS);
            this.pendingAnswers.set(rpcId, { resolve, timer });
            this.dispatch(createEvent(rpcId));
        });
    }

    private requireParams<T>(value: T | undefined, step: string): T {
        if (value === undefined) {
            throw new MarigoldstallError({ code: "RPC_MALFORMED_PARAMS", message: "malformed parameters", step });
        }
        return value;
    }
}
