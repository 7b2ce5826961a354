import type { EntrySettings } from "@marigoldstall/core.types";
import { getHeapStatistics } from "node:v8";
import { BlockPool } from "./block-pool.js";
import { BufferReclaimer } from "./buffer-reclaimer.js";
import { CallerMemory } from "./caller-memory.js";
import type { CallerResources } from "./caller-resources.js";
import { computeCallerCapacity } from "./compute-caller-capacity.js";
import { createGarbageCollector } from "./create-garbage-collector.js";
import { PiecePacer } from "./piece-pacer.js";
import type { RefusedInputs } from "./refused-inputs.js";

interface CreateCallerResourcesOptions {
    readonly refusedInputs: RefusedInputs;
    readonly nowMs: () => number;
}

/** Creates what all callers of a process share, sized by the limits of the machine. */
export const createCallerResources = (
    settings: EntrySettings,
    { refusedInputs, nowMs }: CreateCallerResourcesOptions,
): CallerResources => {
    const { memoryBytes, bufferBytes, maxConnections, maxRequests } = computeCallerCapacity(settings, {
        heapLimitBytes: getHeapStatistics().heap_size_limit,
    });
    const reclaimer = new BufferReclaimer({
        maxBytes: bufferBytes,
        nowMs,
        readBufferBytes: () => process.memoryUsage().arrayBuffers,
        collect: createGarbageCollector(),
    });
    const memory = new CallerMemory({
        maxBytes: memoryBytes,
        nowMs,
        onAllocated: bytes => {
            reclaimer.onAllocated(bytes);
        },
        onYielded: ({ phase, heldBytes }) => {
            refusedInputs.record("caller-memory-exhausted", { phase, heldBytes, limitBytes: memoryBytes });
        },
    });
    return { memory, pacer: new PiecePacer(), blockPool: new BlockPool(), maxConnections, maxRequests };
};
