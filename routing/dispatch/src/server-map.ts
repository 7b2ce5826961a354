import type { ServerState } from "./server-state.js";

/**
 * Servers by instance id in the order in which they were added. Each event changes few of hundreds of servers, and a copy
 * of this map copies one array, as copies of the same servers share the index of their ids.
 */
export class ServerMap implements ReadonlyMap<string, ServerState> {
    private readonly servers: ServerState[];
    private index: ReadonlyMap<string, number>;
    private sharesIndex: boolean;

    constructor(servers: ReadonlyMap<string, ServerState> = new Map()) {
        if (servers instanceof ServerMap) {
            this.servers = servers.servers.slice();
            this.index = servers.index;
            this.sharesIndex = true;
            servers.sharesIndex = true;
        }
        else {
            this.servers = [...servers.values()];
            this.index = new Map([...servers.keys()].map((instanceId, position) => [instanceId, position]));
            this.sharesIndex = false;
        }
    }

    get size(): number {
        return this.servers.length;
    }

    get(instanceId: string): ServerState | undefined {
        const position = this.index.get(instanceId);
        return position === undefined ? undefined : this.servers[position];
    }

    has(instanceId: string): boolean {
        return this.index.has(instanceId);
    }

    /** Only valid on a copy that nobody else holds yet. */
    set(instanceId: string, server: ServerState): this {
        const position = this.index.get(instanceId);
        if (position === undefined) {
            this.ownIndex().set(instanceId, this.servers.length);
            this.servers.push(server);
        }
        else {
            this.servers[position] = server;
        }
        return this;
    }

    /** Returns a copy without a server. */
    without(instanceId: string): ServerMap {
        const servers = new Map(this);
        servers.delete(instanceId);
        return new ServerMap(servers);
    }

    forEach(callback: (server: ServerState, instanceId: string, map: ReadonlyMap<string, ServerState>) => void): void {
        for (const [instanceId, position] of this.index) {
            callback(this.servers[position] as ServerState, instanceId, this);
        }
    }

    keys(): MapIterator<string> {
        return this.index.keys();
    }

    values(): MapIterator<ServerState> {
        return this.servers.values();
    }

    *entries(): MapIterator<[string, ServerState]> {
        for (const [instanceId, position] of this.index) {
            yield [instanceId, this.servers[position] as ServerState];
        }
    }

    [Symbol.iterator](): MapIterator<[string, ServerState]> {
        return this.entries();
    }

    private ownIndex(): Map<string, number> {
        const index = this.sharesIndex ? new Map(this.index) : this.index as Map<string, number>;
        this.index = index;
        this.sharesIndex = false;
        return index;
    }
}
