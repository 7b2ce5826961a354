import type { BackendServer } from "@marigoldstall/core.types";
import {
    createViewState,
    type KnownConfiguration,
    reduceView,
    type RegistrationChange,
    type ViewEffect,
    type ViewEvent,
    type ViewState,
} from "@marigoldstall/fleet.view";

const READ_DURATION_MS = 5;

/** A view that is driven by events, with shorthands for responses of the store. */
export class ViewHarness {
    state: ViewState;
    /** Era of the responses that the shorthands create. */
    era = 0;

    constructor(readerId = "reader") {
        this.state = createViewState({ readerId });
    }

    get ids(): readonly string[] {
        return [...this.state.servers.keys()];
    }

    get version(): number | undefined {
        return this.state.configuration?.configuration.version;
    }

    find(instanceId: string): BackendServer | undefined {
        return this.state.servers.get(instanceId)?.server;
    }

    apply(event: ViewEvent): readonly ViewEffect[] {
        const { state, effects } = reduceView(this.state, event);
        this.state = state;
        return effects;
    }

    tick(atMs: number, readDelayMs = 0): readonly ViewEffect[] {
        return this.apply({ type: "view-tick", atMs, readDelayMs });
    }

    list(atMs: number, nextOffset: number, registrations: readonly RegistrationChange[]): readonly ViewEffect[] {
        return this.apply({
            type: "registrations-listed",
            atMs,
            startedAtMs: atMs - READ_DURATION_MS,
            era: this.era,
            registrations,
            nextOffset,
        });
    }

    read(atMs: number, nextOffset: number, changes: readonly RegistrationChange[]): readonly ViewEffect[] {
        return this.apply({
            type: "registrations-read",
            atMs,
            startedAtMs: atMs - READ_DURATION_MS,
            era: this.era,
            from: this.state.registrationReading.next ?? { era: this.era, offset: nextOffset - changes.length },
            changes,
            nextOffset,
            endOffset: nextOffset,
        });
    }

    fail(atMs: number): readonly ViewEffect[] {
        return this.apply({ type: "store-read-failed", atMs, topic: "registrations", isExpired: false });
    }

    readConfiguration(
        atMs: number,
        nextOffset: number,
        version: number | undefined,
        fields: Partial<Extract<ViewEvent, { readonly type: "configuration-read"; }>> = {},
    ): readonly ViewEffect[] {
        return this.apply({
            type: "configuration-read",
            atMs,
            startedAtMs: atMs - READ_DURATION_MS,
            era: this.era,
            from: this.state.configurationReading.next,
            configuration: version === undefined ? undefined : ViewHarness.configuration(version),
            nextOffset,
            ...fields,
        });
    }

    static configuration(version: number): KnownConfiguration {
        return {
            text: `version ${version}`,
            configuration: {
                version,
                limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
                routesByHost: new Map(),
                services: new Map(),
            },
        };
    }

    static registered(
        offset: number,
        instanceId: string,
        fields: Partial<BackendServer> = {},
    ): RegistrationChange & { readonly server: BackendServer; } {
        return {
            offset,
            instanceId,
            server: {
                instanceId,
                startedAtUnixMs: 1,
                service: "one",
                address: "127.0.0.1:8080",
                availabilityZone: "east",
                slots: 2,
                isDraining: false,
                warmUpMs: 0,
                ...fields,
            },
        };
    }

    static removed(offset: number, instanceId: string): RegistrationChange {
        return { offset, instanceId, server: undefined };
    }
}
