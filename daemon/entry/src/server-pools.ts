import { BackendPool, type Clock } from "@marigoldstall/daemon.connections";
import { INSTANCE_ID_HEADER } from "@marigoldstall/platform.adapter";
import { ENTRY_LIMITS } from "./entry-limits.js";

// Far below what a server accepts from all VMs together; a VM has a few requests at one server.
const MAX_CONNECTIONS = 8;

interface ServerPoolsOptions {
    readonly clock: Clock;
    readonly onIdleChanged: (instanceId: string, idleConnections: number) => void;
    readonly onOpened: () => void;
}

/** Connections to all backend servers. An address that another instance takes over gets new ones. */
export class ServerPools {
    private readonly opts: ServerPoolsOptions;
    private readonly pools = new Map<string, BackendPool>();

    constructor(opts: ServerPoolsOptions) {
        this.opts = opts;
    }

    get(instanceId: string, address: string): BackendPool {
        let pool = this.pools.get(instanceId);
        if (pool === undefined || pool.address !== address) {
            pool?.closeAll();
            pool = new BackendPool({
                address,
                maxConnections: MAX_CONNECTIONS,
                clock: this.opts.clock,
                idleLimitMs: ENTRY_LIMITS.idleConnectionMs,
                connectTimeoutMs: ENTRY_LIMITS.connectTimeoutMs,
                instanceIdHeader: INSTANCE_ID_HEADER,
                onIdleChanged: idleConnections => {
                    this.opts.onIdleChanged(instanceId, idleConnections);
                },
                onOpened: this.opts.onOpened,
            });
            this.pools.set(instanceId, pool);
        }
        return pool;
    }

    /** Forgets the idle connections of a server that is gone; those in use end with their request. */
    forget(instanceId: string): void {
        this.pools.get(instanceId)?.closeIdle({ olderThanMs: 0 });
        this.pools.delete(instanceId);
    }

    get connectionCount(): number {
        let count = 0;
        for (const pool of this.pools.values()) {
            count += pool.connectionCount;
        }
        return count;
    }
}
