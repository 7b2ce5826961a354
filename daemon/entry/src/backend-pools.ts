import { BackendPool, type Clock } from "@marigoldstall/daemon.connections";
import { INSTANCE_ID_HEADER } from "@marigoldstall/platform.adapter";
import { ENTRY_TIMINGS } from "./entry-timings.js";

// Far below the limit that a server accepts from all VMs together. A VM has only a few requests in flight at one
// server.
const MAX_CONNECTIONS = 8;

interface BackendPoolsOptions {
    readonly clock: Clock;
    readonly onIdleChanged: (instanceId: string, idleConnections: number) => void;
    readonly onOpened: () => void;
}

/** Connection pools by backend server instance. An instance whose address changes gets a new pool. */
export class BackendPools {
    private readonly opts: BackendPoolsOptions;
    private readonly pools = new Map<string, BackendPool>();

    constructor(opts: BackendPoolsOptions) {
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
                idleLimitMs: ENTRY_TIMINGS.idleConnectionTimeoutMs,
                connectTimeoutMs: ENTRY_TIMINGS.connectTimeoutMs,
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

    /** Removes the pool of a server that is gone. Connections in use close after their request. */
    remove(instanceId: string): void {
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
