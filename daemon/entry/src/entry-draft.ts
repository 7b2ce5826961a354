import type { Transition } from "@marigoldstall/core.types";
import { type HubEvent, reduceHub, selectLiveHub } from "@marigoldstall/fleet.hubs";
import { reduceView, type ViewEvent } from "@marigoldstall/fleet.view";
import {
    type DispatchEffect,
    type DispatchEvent,
    RandomSequence,
    reduceDispatch,
} from "@marigoldstall/routing.dispatch";
import type { EntryEffect } from "./entry-effect.js";
import type { EntryState } from "./entry-state.js";

/**
 * Applies one event to the slices of the state and passes the effects of a slice on to the slices that depend on it.
 */
export class EntryDraft {
    readonly atMs: number;
    private readonly random: number;
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
            else if (effect.type === "configuration-adopted") {
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
                default:
                    this.effects.push(effect);
            }
        }
    }

    private queryLoads(effect: Extract<DispatchEffect, { readonly type: "query-loads"; }>): void {
        const { hub } = this.current;
        const asked = selectLiveHub(hub, this.atMs);
        if (asked !== undefined) {
            const message = { ...effect, type: "load-query" as const, vmId: hub.self.vmId };
            this.effects.push({ type: "send-message", hosts: [asked.host], message });
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
