import { type ConfigurationEvent, reduceConfiguration } from "@marigoldstall/config.versions";
import type { Outcome } from "@marigoldstall/core.types";
import { type MembershipEvent, reduceMembership } from "@marigoldstall/fleet.membership";
import { type OwnershipEvent, reduceOwnership, selectOwnBounds, selectTerms } from "@marigoldstall/fleet.ownership";
import { type LedgerEvent, reduceLedger, type StoredResponse } from "@marigoldstall/requests.ledger";
import { type MeasuringEvent, reduceMeasuring } from "@marigoldstall/routing.measuring";
import { reduceRouting, type RoutingEvent } from "@marigoldstall/routing.state";
import * as HashMap from "effect/HashMap";
import * as Option from "effect/Option";
import type { EventContext } from "./event-context.js";
import type { KeyedRequest } from "./keyed-request.js";
import type { RequestArrival } from "./request-arrival.js";
import type { RootEffect } from "./root-effect.js";
import type { RootState } from "./root-state.js";
import { selectProbeShares } from "./select-probe-shares.js";

/**
 * Reduction of one root event. It passes events to slices and turns the effects of one slice into events of others;
 * what is left for the shell is collected in `effects`. An instance lives for one event only.
 */
export class RootStep {
    readonly effects: RootEffect[] = [];
    private readonly context: EventContext;
    private current: RootState;
    private response: StoredResponse | undefined;

    constructor(state: RootState, context: EventContext) {
        this.current = state;
        this.context = context;
    }

    get state(): RootState {
        return this.current;
    }

    arrive(request: RequestArrival): void {
        const { claim, requestId } = request;
        if (claim === undefined) {
            this.route(request);
            return;
        }
        this.setKeyed(requestId, { request, routed: false });
        this.ledger({
            type: "keyed-request-arrived",
            ...this.context,
            requestId,
            service: request.service,
            key: claim.key,
            fingerprint: claim.fingerprint,
            deadlineAtMs: request.deadlineAtMs,
        });
    }

    cancel(requestId: string): void {
        const keyed = this.keyed(requestId);
        if (keyed !== undefined && !keyed.routed) {
            this.settle(requestId, "not-run");
            this.effects.push({ type: "finish-request", requestId, outcome: "not-run" });
            return;
        }
        this.routing({ type: "request-cancelled", ...this.context, requestId });
    }

    complete(attemptId: string, response: StoredResponse | undefined): void {
        this.response = response;
        this.routing({ type: "attempt-completed", ...this.context, attemptId });
        this.response = undefined;
    }

    routing(event: RoutingEvent): void {
        const { state, effects } = reduceRouting(this.current.routing, event);
        if (state !== this.current.routing) {
            this.current = { ...this.current, routing: state };
        }
        for (const effect of effects) {
            switch (effect.type) {
                case "publish-evidence":
                    this.membership({ type: "evidence-observed", atMs: this.context.atMs, evidence: effect.evidence });
                    break;
                case "log-decision":
                    this.effects.push({ ...effect, concern: "routing" });
                    break;
                case "reject-request":
                    this.effects.push(effect);
                    this.settle(effect.requestId, effect.outcome);
                    break;
                case "finish-request":
                    this.effects.push(effect);
                    this.settle(effect.requestId, effect.outcome);
                    break;
                default:
                    this.effects.push(effect);
            }
        }
    }

    ledger(event: LedgerEvent): void {
        const { state, effects } = reduceLedger(this.current.ledger, event);
        this.current = { ...this.current, ledger: state };
        for (const effect of effects) {
            switch (effect.type) {
                case "route-request": {
                    const keyed = this.keyed(effect.requestId);
                    if (keyed !== undefined && !keyed.routed) {
                        this.setKeyed(effect.requestId, { ...keyed, routed: true });
                        this.route(keyed.request);
                    }
                    break;
                }
                case "answer-caller":
                    this.removeKeyed(effect.requestId);
                    this.effects.push(effect);
                    break;
                case "log-decision":
                    this.effects.push({ ...effect, concern: "ledger" });
                    break;
                default:
                    this.effects.push(effect);
            }
        }
    }

    membership(event: MembershipEvent): void {
        const { state, effects } = reduceMembership(this.current.membership, event);
        this.current = { ...this.current, membership: state };
        const { atMs } = this.context;
        for (const effect of effects) {
            switch (effect.type) {
                case "members-changed":
                    this.ownership({ type: "members-changed", atMs, members: effect.members });
                    break;
                case "peer-version-heard":
                    this.configuration({ ...effect, atMs });
                    break;
                case "evidence-heard":
                    this.routing({ type: "evidence-received", atMs, evidence: effect.evidence });
                    break;
                case "pressure-heard":
                    this.routing({ type: "pressure-received", atMs, pressure: effect.pressure });
                    break;
                case "log-decision":
                    this.effects.push({ ...effect, concern: "membership" });
                    break;
                default:
                    this.effects.push(effect);
            }
        }
    }

    ownership(event: OwnershipEvent): void {
        const former = this.current.ownership;
        const { state, effects } = reduceOwnership(former, event);
        this.current = { ...this.current, ownership: state };
        if (selectTerms(state) !== selectTerms(former) || selectOwnBounds(state) !== selectOwnBounds(former)) {
            // The ledger learns of lost rights before anything else can use them.
            this.ledger({
                type: "terms-changed",
                ...this.context,
                terms: selectTerms(state),
                ownBoundsMs: selectOwnBounds(state),
            });
            this.measuring({ type: "shares-changed", atMs: this.context.atMs, shares: selectProbeShares(state) });
        }
        for (const effect of effects) {
            this.effects.push(effect.type === "log-decision" ? { ...effect, concern: "ownership" } : effect);
        }
    }

    configuration(event: ConfigurationEvent): void {
        const { state, effects } = reduceConfiguration(this.current.configuration, event);
        this.current = { ...this.current, configuration: state };
        const { atMs } = this.context;
        for (const effect of effects) {
            if (effect.type === "log-decision") {
                this.effects.push({ ...effect, concern: "configuration" });
                continue;
            }
            this.effects.push(effect);
            if (effect.type === "apply-configuration") {
                const { targets, version } = effect.configuration;
                this.current = { ...this.current, applied: effect.configuration };
                this.routing({ type: "targets-changed", atMs, targets });
                this.measuring({
                    type: "budget-changed",
                    atMs,
                    probesPerSecond: targets.measuring.probesPerSecond,
                });
                this.membership({ type: "configuration-changed", atMs, version });
                this.ownership({ type: "configuration-changed", atMs, version });
            }
        }
    }

    measuring(event: MeasuringEvent): void {
        const { state, effects } = reduceMeasuring(this.current.measuring, event);
        if (state !== this.current.measuring) {
            this.current = { ...this.current, measuring: state };
        }
        this.effects.push(...effects);
    }

    private route(request: RequestArrival): void {
        this.routing({
            type: "request-arrived",
            ...this.context,
            requestId: request.requestId,
            service: request.service,
            className: request.className,
            deadlineAtMs: request.deadlineAtMs,
            callerAttempt: request.callerAttempt,
            bodyReplayable: request.bodyReplayable,
        });
    }

    /** Reports the outcome of a request with a key, once. */
    private settle(requestId: string, outcome: Outcome): void {
        if (this.keyed(requestId) === undefined) {
            return;
        }
        this.removeKeyed(requestId);
        this.ledger({
            type: "request-finished",
            ...this.context,
            requestId,
            outcome,
            response: outcome === "completed" ? this.response : undefined,
        });
    }

    private keyed(requestId: string): KeyedRequest | undefined {
        return Option.getOrUndefined(HashMap.get(this.current.keyedRequests, requestId));
    }

    private setKeyed(requestId: string, keyed: KeyedRequest): void {
        this.current = { ...this.current, keyedRequests: HashMap.set(this.current.keyedRequests, requestId, keyed) };
    }

    private removeKeyed(requestId: string): void {
        this.current = { ...this.current, keyedRequests: HashMap.remove(this.current.keyedRequests, requestId) };
    }
}
