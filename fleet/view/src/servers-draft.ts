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
        if (latest !== undefined && comparePositions(latest.position, position) >= 0) {
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
     * Withholds a registration of a restored copy if it is older than what is known: the server was removed, or its
     * process was replaced. Returns undefined if it is not older, and otherwise how that changes the servers in use.
     */
    withhold(registration: RegistrationChange, untilMs: number): ChangeResult | undefined {
        const { instanceId, server } = registration;
        if (server === undefined) {
            return undefined;
        }
        const known = this.servers.get(instanceId);
        // A view that has started since may know of the removal only because a peer withholds the registration.
        const later = known?.server ?? this.departed.get(instanceId) ?? this.withheld.get(instanceId)?.server;
        const order = later === undefined ? undefined : compareStarts(server, later);
        const isOutdated = order !== undefined && (known === undefined ? order <= 0 : order < 0);
        if (!isOutdated) {
            return undefined;
        }
        const result = known === undefined ? "none" : this.remove(known, this.positionOf(registration));
        if (!this.hasDrained(server)) {
            this.withheld.set(instanceId, { server, position: this.positionOf(registration), untilMs });
        }
        return result;
    }

    /** Withholds a registration that a peer withholds, unless this view has a later one. */
    adoptWithheld(registration: RegistrationChange, untilMs: number): ChangeResult {
        const { instanceId, server } = registration;
        const position = this.positionOf(registration);
        const known = this.servers.get(instanceId);
        const isLater = known !== undefined && comparePositions(known.position, position) > 0;
        if (server === undefined || isLater) {
            return "none";
        }
        // The peer may have listed a later copy, in which the registration expires later. A VM that starts may have read
        // the registration without knowing that the server had left.
        const withheld = this.withheld.get(instanceId);
        this.withheld.set(instanceId, {
            server,
            position: selectLaterPosition(position, withheld?.position),
            untilMs: Math.max(untilMs, withheld?.untilMs ?? -Infinity),
        });
        return this.servers.delete(instanceId) ? "changed" : "none";
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

    private hasDrained(server: BackendServer): boolean {
        const departed = this.departed.get(server.instanceId);
        return departed !== undefined && departed.isDraining && compareStarts(server, departed) === 0;
    }
}

// A process that drains never becomes ready again. A restored copy may contain its registration from before.
const keepDraining = (registered: BackendServer, known: BackendServer): BackendServer =>
    known.isDraining && compareStarts(registered, known) === 0 ? { ...registered, isDraining: true } : registered;
