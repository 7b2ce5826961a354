import { MarigoldstallError } from "@marigoldstall/core.error";
import type { DaemonId } from "@marigoldstall/core.types";
import type { RootEffect, RootEventBody, RootState } from "@marigoldstall/daemon.state";
import { parseEvidence, parseHeartbeat, selectAddress } from "@marigoldstall/fleet.membership";
import type { RpcClient } from "@marigoldstall/fleet.rpc";
import type { LogClient } from "@marigoldstall/platform.log-client";
import type { Metrics } from "./metrics.js";
import { wire } from "./wire.js";

type EffectOf<Type extends RootEffect["type"]> = Extract<RootEffect, { readonly type: Type; }>;

// Longer than a round trip between availability zones by a factor of hundreds, shorter than any caller's patience.
const CALL_TIMEOUT_MS = 1_000;
// Claims may wait at the owner until a bound is raised.
const CLAIM_TIMEOUT_MS = 3_000;
const ANSWER_TIMEOUT_MS = 5_000;

interface PendingAnswer {
    readonly resolve: (answer: unknown) => void;
    readonly timer: NodeJS.Timeout;
}

/** Calls between daemons and appends to the log, in both directions. */
export class FleetCalls {
    private readonly rpc: RpcClient;
    private readonly log: LogClient;
    private readonly metrics: Metrics;
    private readonly dispatch: (event: RootEventBody) => void;
    private readonly state: () => RootState;
    private readonly pending = new Map<string, PendingAnswer>();
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

    /** Methods of the control port that the reducer answers. */
    get methods(): Readonly<Record<string, (params: unknown) => unknown>> {
        return {
            "membership.heartbeat": params => {
                const heartbeat = this.require(parseHeartbeat(params), "membership.heartbeat");
                return this.ask(rpcId => ({ type: "heartbeat-received", rpcId, heartbeat }));
            },
            "membership.evidence": params => {
                const evidence = this.require(parseEvidence(params), "membership.evidence");
                this.dispatch({ type: "evidence-received", evidence });
                return {};
            },
            "configuration.fetch": () => ({ configuration: this.state().applied }),
            "ownership.promise": params => {
                const request = this.require(wire.promiseRequest(params), "ownership.promise");
                return this.ask(rpcId => ({ type: "promise-requested", rpcId, request }));
            },
            "ledger.claim": params => {
                const request = this.require(wire.claim(params), "ledger.claim");
                return this.ask(rpcId => ({ type: "claim-received", rpcId, request }));
            },
            "ledger.settle": params => {
                const request = this.require(wire.settle(params), "ledger.settle");
                return this.ask(rpcId => ({ type: "settle-received", rpcId, request }));
            },
        };
    }

    /** Hands the reducer's answer to the call that waits for it. */
    answer(rpcId: string, answer: unknown): void {
        const pending = this.pending.get(rpcId);
        if (pending !== undefined) {
            this.pending.delete(rpcId);
            clearTimeout(pending.timer);
            pending.resolve(answer);
        }
    }

    sendHeartbeat(effect: EffectOf<"send-heartbeat">): void {
        const { peerAddress } = effect;
        this.call(peerAddress, "membership.heartbeat", effect.heartbeat, answer => {
            this.dispatch({ type: "heartbeat-answered", peerAddress, heartbeat: parseHeartbeat(answer) });
        });
    }

    sendEvidence(effect: EffectOf<"send-evidence">): void {
        this.call(effect.peerAddress, "membership.evidence", { evidence: effect.evidence }, () => undefined);
    }

    fetchConfiguration(peerAddress: string): void {
        this.call(peerAddress, "configuration.fetch", {}, answer => {
            const fetched = (answer as { readonly configuration?: unknown; } | undefined)?.configuration;
            this.dispatch({ type: "configuration-fetched", peerAddress, configuration: wire.configuration(fetched) });
        });
    }

    requestPromise(effect: EffectOf<"request-promise">): void {
        this.call(effect.guardian.address, "ownership.promise", effect.request, answer => {
            const reply = wire.promiseReply(answer);
            if (reply !== undefined) {
                this.dispatch({ type: "promise-answered", reply });
            }
        });
    }

    sendClaim(effect: EffectOf<"send-claim">): void {
        const { owner, request } = effect;
        const { requestId } = request;
        this.callDaemon(owner, "ledger.claim", request, answer => {
            this.dispatch({ type: "claim-answered", requestId, owner, reply: wire.claimReply(answer) });
        }, CLAIM_TIMEOUT_MS);
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
            // In a turn of its own, so that the reducer sees the failure after the effect that led to it.
            setImmediate(callback, undefined);
            return;
        }
        this.call(address, method, params, callback, timeoutMs);
    }

    private call(
        address: string,
        method: string,
        params: unknown,
        callback: (answer: unknown) => void,
        timeoutMs = CALL_TIMEOUT_MS,
    ): void {
        void this.rpc.call(address, { method, params, timeoutMs }).then(result => {
            if (result.isErr()) {
                this.metrics.rpcFailures.inc({ method });
            }
            callback(result.unwrapOr(undefined));
        });
    }

    private ask(createEvent: (rpcId: string) => RootEventBody): Promise<unknown> {
        return new Promise((resolve, reject) => {
            const rpcId = String(this.nextRpcId++);
            const timer = setTimeout(() => {
                this.pending.delete(rpcId);
                reject(new MarigoldstallError({ code: "NOT_ANSWERED", message: "no answer yet", step: "answer call" }));
            }, ANSWER_TIMEOUT_MS);
            this.pending.set(rpcId, { resolve, timer });
            this.dispatch(createEvent(rpcId));
        });
    }

    private require<T>(value: T | undefined, step: string): T {
        if (value === undefined) {
            throw new MarigoldstallError({ code: "RPC_MALFORMED_PARAMS", message: "malformed parameters", step });
        }
        return value;
    }
}
