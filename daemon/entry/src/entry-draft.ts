import type { Transition } from "@marigoldstall/core.types";
import {
    type FleetMessage,
    type HubEvent,
    reduceHub,
    selectLiveHub,
    selectPermitAuthority,
    selectPermitShare,
} from "@marigoldstall/fleet.hubs";
import { reduceView, type ViewEvent } from "@marigoldstall/fleet.view";
import {
    type DispatchEffect,
    type DispatchEvent,
    RandomSequence,
    reduceDispatch,
} from "@marigoldstall/routing.dispatch";
import { type QuotaEvent, reduceQuotas } from "@marigoldstall/routing.quotas";
import { describeMetering } from "./describe-metering.js";
import type { EntryEffect } from "./entry-effect.js";
import type { EntryState } from "./entry-state.js";
import { selectQuotas } from "./select-quotas.js";

/**
 * Applies one event to the slices of the state and passes the effects of a slice on to the slices that depend on it.
 */
export class EntryDraft {
    readonly atMs: number;
    /** Random number of the event. */
    readonly random: number;
    private readonly randomSequence: RandomSequence;
    private current: EntryState;
    private readonly effects: EntryEffect[] = [];

    constructor(state: EntryState, opts: { readonly atMs: number; readonly random: number; }) {
        this.current = state;
        this.atMs = opts.atMs;
        this.random = opts.random;
        this.randomSequence = new RandomSequence(opts.random);
    }

    get state(): EntryState {
        return this.current;
    }

    update(fields: Partial<EntryState>): void {
        this.current = { ...this.current, ...fields };
    }

    emit(effect: EntryEffect): void {
        this.effects.push(effect);
    }

    applyViewEvent(event: ViewEvent): void {
        const { state, effects } = reduceView(this.current.view, event);
        this.current = { ...this.current, view: state };
        for (const effect of effects) {
            this.effects.push(effect);
            if (effect.type === "servers-changed") {
                this.applyDispatchEvent({ type: "servers-changed", ...this.eventContext, changes: effect.changes });
            }
            else if (effect.type === "evacuations-changed") {
                this.applyDispatchEvent({ type: "zones-evacuated", ...this.eventContext, zones: effect.zones });
            }
            else if (effect.type === "configuration-adopted") {
                this.applyQuotaEvent({
                    type: "quotas-configured",
                    atMs: this.atMs,
                    quotas: selectQuotas(effect.configuration),
                });
                this.applyDispatchEvent({
                    type: "configuration-adopted",
                    ...this.eventContext,
                    configuration: effect.configuration,
                });
            }
        }
    }

    applyHubEvent(event: HubEvent): void {
        const { state, effects } = reduceHub(this.current.hub, event);
        this.current = { ...this.current, hub: state };
        this.effects.push(...effects);
        const hasReported = effects.some(effect =>
            effect.type === "send-message" && effect.message.type === "updates" && effect.message.usage !== undefined
        );
        if (hasReported) {
            this.applyQuotaEvent({ type: "usage-reported", atMs: this.atMs });
        }
    }

    applyDispatchEvent(event: DispatchEvent): void {
        const { state, effects } = reduceDispatch(this.current.dispatch, event);
        this.current = { ...this.current, dispatch: state };
        for (const effect of effects) {
            switch (effect.type) {
                case "query-loads":
                    this.queryLoads(effect);
                    break;
                case "report-failure":
                    this.applyHubEvent({ ...effect, type: "server-failed", atMs: this.atMs });
                    break;
                case "start-attempt":
                    this.effects.push(effect);
                    this.applyHubEvent({ type: "request-sent", atMs: this.atMs, instanceId: effect.instanceId });
                    break;
                case "request-permit":
                    this.requestPermit(effect);
                    break;
                case "answer-permit":
                    this.answerPermit(effect);
                    break;
                case "request-admission":
                    this.applyQuotaEvent({
                        ...effect,
                        type: "admission-requested",
                        atMs: this.atMs,
                        hubHost: this.hubHost,
                    });
                    break;
                case "release-admission":
                    this.applyQuotaEvent({ ...effect, type: "admission-released", atMs: this.atMs });
                    break;
                case "findings-changed":
                    // A member tells its hub only what servers told it; the hub tells everyone else.
                    if (effect.source === "response" || this.current.hub.isHub) {
                        this.applyHubEvent({ type: "findings-changed", atMs: this.atMs });
                    }
                    break;
                default:
                    this.effects.push(effect);
            }
        }
    }

    applyQuotaEvent(event: QuotaEvent): void {
        const { state, effects } = reduceQuotas(this.current.quotas, event);
        this.current = { ...this.current, quotas: state };
        for (const effect of effects) {
            switch (effect.type) {
                case "admission-decided":
                    this.applyDispatchEvent({ ...effect, ...this.eventContext });
                    break;
                case "query-quota":
                    this.sendTo(effect.host, {
                        type: "quota-query",
                        reporterId: state.reporterId,
                        requestKey: effect.requestKey,
                        tenantName: effect.tenantName,
                    });
                    break;
                case "answer-quota": {
                    const { host, requestKey, verdict, retryAfterMs } = effect;
                    this.sendTo(host, { type: "quota-answer", requestKey, verdict, retryAfterMs });
                    break;
                }
                case "usage-changed":
                    this.applyHubEvent({ type: "usage-changed", atMs: this.atMs });
                    break;
                case "log-metering":
                    this.effects.push({ type: "log-decision", decision: describeMetering(effect) });
                    break;
            }
        }
    }

    /** Host of this VM's hub, if it is another VM and heard. */
    get hubHost(): string | undefined {
        return selectLiveHub(this.current.hub, this.atMs)?.host;
    }

    private sendTo(host: string, message: FleetMessage): void {
        this.effects.push({ type: "send-message", hosts: [host], message });
    }

    /** Grants or refuses a permit if this VM counts the requests to the server, and refuses it otherwise. */
    decidePermit(query: {
        readonly attemptId: string;
        readonly instanceId: string;
        readonly availabilityZone: string;
        readonly replyHost: string | undefined;
    }): void {
        const { hub } = this.current;
        const { attemptId, instanceId, availabilityZone, replyHost } = query;
        const isAuthority = selectPermitAuthority(hub, availabilityZone, this.atMs)?.vmId === hub.self.vmId;
        const share = isAuthority ? selectPermitShare(hub, availabilityZone, this.atMs) : 0;
        this.applyDispatchEvent({
            type: "permit-requested",
            ...this.eventContext,
            attemptId,
            instanceId,
            replyHost,
            share,
        });
    }

    private requestPermit(effect: Extract<DispatchEffect, { readonly type: "request-permit"; }>): void {
        const { attemptId, instanceId, availabilityZone } = effect;
        const authority = selectPermitAuthority(this.current.hub, availabilityZone, this.atMs);
        if (authority === undefined || authority.vmId === this.current.hub.self.vmId) {
            this.decidePermit({ attemptId, instanceId, availabilityZone, replyHost: undefined });
            return;
        }
        this.sendTo(authority.host, { type: "permit-query", attemptId, instanceId });
    }

    private answerPermit(effect: Extract<DispatchEffect, { readonly type: "answer-permit"; }>): void {
        const { replyHost, attemptId, instanceId, isGranted, retryAfterMs } = effect;
        const answer = { attemptId, instanceId, isGranted, retryAfterMs };
        if (replyHost === undefined) {
            this.applyDispatchEvent({ type: "permit-answered", ...this.eventContext, ...answer });
            return;
        }
        this.sendTo(replyHost, { type: "permit-answer", ...answer });
    }

    private queryLoads(effect: Extract<DispatchEffect, { readonly type: "query-loads"; }>): void {
        const { hub } = this.current;
        const asked = selectLiveHub(hub, this.atMs);
        if (asked !== undefined) {
            this.sendTo(asked.host, { ...effect, type: "load-query", vmId: hub.self.vmId });
        }
    }

    /** Next value of a pseudo-random sequence that is seeded with the event's random number. */
    readonly nextRandom = (): number => this.randomSequence.next();

    /** Time and random number that every event of the dispatch slice carries. */
    get eventContext(): { readonly atMs: number; readonly random: number; } {
        return { atMs: this.atMs, random: this.random };
    }

    finish(): Transition<EntryState, EntryEffect> {
        return { state: this.current, effects: this.effects };
    }
}
