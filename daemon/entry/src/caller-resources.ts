import type { BlockPool } from "./block-pool.js";
import type { CallerMemory } from "./caller-memory.js";
import type { PiecePacer } from "./piece-pacer.js";

/** What all callers of a process share. */
export interface CallerResources {
    readonly memory: CallerMemory;
    readonly pacer: PiecePacer;
    readonly blockPool: BlockPool;
    readonly maxConnections: number;
    readonly maxRequests: number;
}
