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
 * Reduction of one root event. Dispatches events to the slices and converts effects of one slice into events of others.
 * The remaining effects are collected in `effects`. Each instance reduces a single event.
 */
export class RootReduction {
    readonly effects: RootEffect[] = [];
    private readonly context: EventContext;
    private current: RootState;
    private completedResponse: StoredResponse | undefined;

    constructor(state: RootState, context: EventContext) {
        this.current = state;
        this.context = context;
    }

    get state(): RootState {
        return this.current;
    }

    startRequest(request: RequestArrival): void {
        const { claim, requestId } = request;
        if (claim === undefined) {
            this.routeRequest(request);
            return;
        }
        this.setKeyedRequest(requestId, { request, isRouted: false });
        this.dispatchToLedger({
            type: "keyed-request-arrived",
            ...this.context,
            requestId,
            service: request.service,
            key: claim.key,
            fingerprint: claim.fingerprint,
            deadlineAtMs: request.deadlineAtMs,
        });
    }

    cancelRequest(requestId: string): void {
        const keyedRequest = this.findKeyedRequest(requestId);
        if (keyedRequest !== undefined && !keyedRequest.isRouted) {
            this.settleClaim(requestId, "not-run");
            this.effects.push({ type: "finish-request", requestId, outcome: "not-run" });
            return;
        }
        this.dispatchToRouting({ type: "request-cancelled", ...this.context, requestId });
    }

    completeAttempt(attemptId: string, response: StoredResponse | undefined): void {
        this.completedResponse = response;
        this.dispatchToRouting({ type: "attempt-completed", ...this.context, attemptId });
        this.completedResponse = undefined;
    }

    dispatchToRouting(event: RoutingEvent): void {
        const { state, effects } = reduceRouting(this.current.routing, event);
        if (state !== this.current.routing) {
            this.current = { ...this.current, routing: state };
        }
        for (const effect of effects) {
            switch (effect.type) {
                case "publish-evidence":
                    this.dispatchToMembership({
                        type: "evidence-observed",
                        atMs: this.context.atMs,
                        evidence: effect.evidence,
                    });
                    break;
                case "log-decision":
                    this.effects.push({ ...effect, concern: "routing" });
                    break;
                case "reject-request":
                    this.effects.push(effect);
                    this.settleClaim(effect.requestId, effect.outcome);
                    break;
                case "finish-request":
                    this.effects.push(effect);
                    this.settleClaim(effect.requestId, effect.outcome);
                    break;
                default:
                    this.effects.push(effect);
            }
        }
    }

    dispatchToLedger(event: LedgerEvent): void {
        const { state, effects } = reduceLedger(this.current.ledger, event);
        this.current = { ...this.current, ledger: state };
        for (const effect of effects) {
            switch (effect.type) {
                case "route-request": {
                    const keyedRequest = this.findKeyedRequest(effect.requestId);
                    if (keyedRequest !== undefined && !keyedRequest.isRouted) {
                        this.setKeyedRequest(effect.requestId, { ...keyedRequest, isRouted: true });
                        this.routeRequest(keyedRequest.request);
                    }
                    break;
                }
                case "answer-caller":
                    this.removeKeyedRequest(effect.requestId);
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

    dispatchToMembership(event: MembershipEvent): void {
        const { state, effects } = reduceMembership(this.current.membership, event);
        this.current = { ...this.current, membership: state };
        const { atMs } = this.context;
        for (const effect of effects) {
            switch (effect.type) {
                case "members-changed":
                    this.dispatchToOwnership({ type: "members-changed", atMs, members: effect.members });
                    break;
                case "peer-version-heard":
                    this.dispatchToConfiguration({ ...effect, atMs });
                    break;
                case "evidence-heard":
                    this.dispatchToRouting({ type: "evidence-received", atMs, evidence: effect.evidence });
                    break;
                case "pressure-heard":
                    this.dispatchToRouting({ type: "pressure-received", atMs, pressure: effect.pressure });
                    break;
                case "log-decision":
                    this.effects.push({ ...effect, concern: "membership" });
                    break;
                default:
                    this.effects.push(effect);
            }
        }
    }

    dispatchToOwnership(event: OwnershipEvent): void {
        const previous = this.current.ownership;
        const { state, effects } = reduceOwnership(previous, event);
        this.current = { ...this.current, ownership: state };
        if (selectTerms(state) !== selectTerms(previous) || selectOwnBounds(state) !== selectOwnBounds(previous)) {
            // The ledger must know about lost terms and bounds before anything else can use them.
            this.dispatchToLedger({
                type: "terms-changed",
                ...this.context,
                terms: selectTerms(state),
                ownBoundsMs: selectOwnBounds(state),
            });
            this.dispatchToMeasuring({
                type: "shares-changed",
                atMs: this.context.atMs,
                shares: selectProbeShares(state),
            });
        }
        for (const effect of effects) {
            this.effects.push(effect.type === "log-decision" ? { ...effect, concern: "ownership" } : effect);
        }
    }

    dispatchToConfiguration(event: ConfigurationEvent): void {
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
                this.dispatchToRouting({ type: "targets-changed", atMs, targets });
                this.dispatchToMeasuring({
                    type: "budget-changed",
                    atMs,
                    probesPerSecond: targets.measuring.probesPerSecond,
                });
                this.dispatchToMembership({ type: "configuration-changed", atMs, version });
                this.dispatchToOwnership({ type: "configuration-changed", atMs, version });
            }
        }
    }

    dispatchToMeasuring(event: MeasuringEvent): void {
        const { state, effects } = reduceMeasuring(this.current.measuring, event);
        if (state !== this.current.measuring) {
            this.current = { ...this.current, measuring: state };
        }
        this.effects.push(...effects);
    }

    private routeRequest(request: RequestArrival): void {
        this.dispatchToRouting({
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

    /** Reports the outcome of a request with a key to the ledger, at most once. */
    private settleClaim(requestId: string, outcome: Outcome): void {
        if (this.findKeyedRequest(requestId) === undefined) {
            return;
        }
        this.removeKeyedRequest(requestId);
        this.dispatchToLedger({
            type: "request-finished",
            ...this.context,
            requestId,
            outcome,
            response: outcome === "completed" ? this.completedResponse : undefined,
        });
    }

    private findKeyedRequest(requestId: string): KeyedRequest | undefined {
        return Option.getOrUndefined(HashMap.get(this.current.keyedRequests, requestId));
    }

    private setKeyedRequest(requestId: string, keyedRequest: KeyedRequest): void {
        this.current = {
            ...this.current,
            keyedRequests: HashMap.set(this.current.keyedRequests, requestId, keyedRequest),
        };
    }

    private removeKeyedRequest(requestId: string): void {
        this.current = { ...this.current, keyedRequests: HashMap.remove(this.current.keyedRequests, requestId) };
    }
}
