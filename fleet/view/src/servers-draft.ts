import type { BackendServer } from "@marigoldstall/core.types";
import { comparePositions } from "./compare-positions.js";
import { compareStarts } from "./compare-starts.js";
import type { DepartedServer } from "./departed-server.js";
import { isSameServer } from "./is-same-server.js";
import type { KnownServer } from "./known-server.js";
import type { RegistrationChange } from "./registration-change.js";
import { selectLaterPosition } from "./select-later-position.js";
import type { StorePosition } from "./store-position.js";
import { toDepartedServer } from "./to-departed-server.js";
import type { ViewState } from "./view-state.js";
import type { WithheldServer } from "./withheld-server.js";

interface ServersDraftOptions {
    readonly atMs: number;
    readonly era: number;
    /** Until when a server stays in use after its registration expired. */
    readonly retainRemovedUntilMs: number;
}

type ChangeResult = "none" | "propagated" | "changed";

/** Working copy of the servers of a view while registration changes of one era are applied. */
export class ServersDraft {
    private readonly servers: Map<string, KnownServer>;
    private readonly departed: Map<string, DepartedServer>;
    private readonly withheld: Map<string, WithheldServer>;
    private readonly opts: ServersDraftOptions;

    constructor(state: ViewState, opts: ServersDraftOptions) {
        this.servers = new Map(state.servers);
        this.departed = new Map(state.departed);
        this.withheld = new Map(state.withheld);
        this.opts = opts;
    }

    /** Applies a change. `propagated` changes must reach peers although they do not affect this view. */
    apply(change: RegistrationChange): ChangeResult {
        const { instanceId, server } = change;
        const position = this.positionOf(change);
        const known = this.servers.get(instanceId);
        const latest = this.withheld.get(instanceId) ?? known;
        if (latest !== undefined && !isNews(latest, { server, position })) {
            return "none";
        }
        this.withheld.delete(instanceId);
        if (server === undefined) {
            // A peer that read a restored copy may use a server that this view withholds or does not know.
            return known === undefined ? "propagated" : this.remove(known, position);
        }
        return this.hasDrained(server) ? "none" : this.register(server, position);
    }

    /**
     * Withholds a registration of a restored copy if it may be older than what is known: the server was removed, its
     * process was replaced, or it has changed. Returns undefined if it is not older, and otherwise how that changes the
     * servers in use.
     */
    withhold(registration: RegistrationChange, expiredAtMs: number): ChangeResult | undefined {
        const { instanceId, server } = registration;
        const known = this.servers.get(instanceId);
        if (server === undefined || !this.isOutdated(registration, server)) {
            return undefined;
        }
        const position = this.positionOf(registration);
        // The process that is known registers again in this time, or the registration is the latest one after all.
        const isInUse = known !== undefined && (compareStarts(server, known.server) ?? 0) === 0;
        const untilMs = isInUse ? this.opts.retainRemovedUntilMs : expiredAtMs;
        const result = known === undefined ? "none" : this.remove(known, position);
        if (!this.hasDrained(server)) {
            this.withheld.set(instanceId, { server, position, untilMs, isInUse });
        }
        return result;
    }

    /** Withholds a registration that a peer withholds, unless this view has a later one. */
    adoptWithheld(registration: RegistrationChange, untilMs: number): ChangeResult {
        const { instanceId, server } = registration;
        const position = this.positionOf(registration);
        const known = this.servers.get(instanceId);
        const order = known === undefined ? -1 : comparePositions(known.position, position);
        if (server === undefined || order > 0) {
            return "none";
        }
        // The peer may have listed a later copy, in which the registration expires later.
        const withheld = this.withheld.get(instanceId);
        this.withheld.set(instanceId, {
            server,
            position: selectLaterPosition(position, withheld?.position),
            untilMs: Math.max(untilMs, withheld?.untilMs ?? -Infinity),
            isInUse: false,
        });
        if (order < 0) {
            return known === undefined ? "none" : this.remove(known, position);
        }
        // A VM that starts may have read the registration without knowing that the server had left.
        this.servers.delete(instanceId);
        return "changed";
    }

    /** Records that a peer has seen a server leave. Removes the server if this view has missed that. */
    adoptDeparted(instanceId: string, departed: DepartedServer): ChangeResult {
        const known = this.servers.get(instanceId)?.server;
        if (known === undefined) {
            if (!this.departed.has(instanceId)) {
                this.departed.set(instanceId, departed);
            }
            return "none";
        }
        if (compareStarts(known, departed) !== 0) {
            return "none";
        }
        this.servers.delete(instanceId);
        this.departed.set(instanceId, { ...departed, isDraining: departed.isDraining || known.isDraining });
        return "changed";
    }

    finish(): Pick<ViewState, "servers" | "departed" | "withheld"> {
        return { servers: this.servers, departed: this.departed, withheld: this.withheld };
    }

    private positionOf(change: RegistrationChange): StorePosition {
        return { era: this.opts.era, offset: change.offset };
    }

    private remove(known: KnownServer, position: StorePosition): ChangeResult {
        const { atMs, retainRemovedUntilMs } = this.opts;
        const { server } = known;
        // A draining server does not register again.
        if (retainRemovedUntilMs > atMs && !server.isDraining) {
            this.servers.set(server.instanceId, { ...known, position, retainedUntilMs: retainRemovedUntilMs });
            return "propagated";
        }
        this.servers.delete(server.instanceId);
        this.departed.set(server.instanceId, toDepartedServer(server, atMs));
        return "changed";
    }

    private register(registered: BackendServer, position: StorePosition): ChangeResult {
        const known = this.servers.get(registered.instanceId);
        const server = known === undefined ? registered : keepDraining(registered, known.server);
        this.departed.delete(server.instanceId);
        this.servers.set(server.instanceId, { server, position, retainedUntilMs: undefined });
        if (known === undefined || !isSameServer(known.server, server)) {
            return "changed";
        }
        // Peers that retain the expired registration must learn that it was renewed.
        return known.retainedUntilMs === undefined ? "none" : "propagated";
    }

    private isOutdated(registration: RegistrationChange, server: BackendServer): boolean {
        const known = this.servers.get(registration.instanceId);
        if (known === undefined) {
            const { instanceId } = registration;
            // A view that has started since may know of the removal only because a peer withholds the registration.
            const departed = this.departed.get(instanceId) ?? this.withheld.get(instanceId)?.server;
            return departed !== undefined && (compareStarts(server, departed) ?? 0) <= 0;
        }
        const order = compareStarts(server, known.server) ?? 0;
        if (order !== 0) {
            return order < 0;
        }
        // A drain counts in any case. Anything else at a lower offset is from before the restore, or about to be written
        // again.
        return !server.isDraining && !known.server.isDraining && registration.offset < known.position.offset
            && !isSameServer(known.server, server);
    }

    private hasDrained(server: BackendServer): boolean {
        const departed = this.departed.get(server.instanceId);
        return departed !== undefined && departed.isDraining && compareStarts(server, departed) === 0;
    }
}

// Views of the same position differ if one of them knows that the process drains and the other has read only the copy.
const isNews = (
    latest: { readonly server: BackendServer; readonly position: StorePosition; },
    change: { readonly server: BackendServer | undefined; readonly position: StorePosition; },
): boolean => {
    const order = comparePositions(change.position, latest.position);
    return order > 0 || (order === 0 && change.server?.isDraining === true && !latest.server.isDraining);
};

// A process that drains never becomes ready again. A restored copy may contain its registration from before.
const keepDraining = (registered: BackendServer, known: BackendServer): BackendServer =>
    known.isDraining && compareStarts(registered, known) === 0 ? { ...registered, isDraining: true } : registered;
