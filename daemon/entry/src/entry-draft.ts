import type { Transition } from "@marigoldstall/core.types";
import { type HubEvent, reduceHub } from "@marigoldstall/fleet.hubs";
import { reduceView, type ViewEvent } from "@marigoldstall/fleet.view";
import { type DispatchEvent, reduceDispatch } from "@marigoldstall/routing.dispatch";
import type { EntryEffect } from "./entry-effect.js";
import type { EntryState } from "./entry-state.js";

/**
 * Applies one event to the slices of the state and passes the effects of a slice on to the slices that depend on it.
 */
export class EntryDraft {
    readonly atMs: number;
    private readonly random: number;
    private current: EntryState;
    private readonly effects: EntryEffect[] = [];

    constructor(state: EntryState, opts: { readonly atMs: number; readonly random: number; }) {
        this.current = state;
        this.atMs = opts.atMs;
        this.random = opts.random;
    }

    get state(): EntryState {
        return this.current;
    }

    update(fields: Partial<EntryState>): void {
        this.current = { ...this.current, ...fields };
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
            this.effects.push(effect);
            if (effect.type === "start-attempt") {
                this.applyHubEvent({ type: "request-sent", atMs: this.atMs, instanceId: effect.instanceId });
            }
        }
    }

    /** Time and random number that every event of the dispatch slice carries. */
    get eventContext(): { readonly atMs: number; readonly random: number; } {
        return { atMs: this.atMs, random: this.random };
    }

    finish(): Transition<EntryState, EntryEffect> {
        return { state: this.current, effects: this.effects };
    }
}
