import type { EntrySettings } from "@marigoldstall/core.types";
import type { CallerCapacity } from "./caller-capacity.js";

const MEGABYTE = 1_024 * 1_024;
// The process without callers takes 70 MB. With many requests its heap grows by 30 MB, most of it for young objects, and
// buffers of the connections take some more.
const PROCESS_BYTES = 108 * MEGABYTE;
// Buffers of the process itself, and those that wait for the garbage collector.
const GARBAGE_BYTES = 12 * MEGABYTE;
const MIN_MEMORY_BYTES = 16 * MEGABYTE;
// For connections to servers and peers, and for the process itself.
const RESERVED_DESCRIPTOR_SHARE = 0.25;
const RESERVED_DESCRIPTORS = 64;
const MIN_CONNECTIONS = 16;
// A request with its head and state takes 5 to 8 KB of the heap. A quarter of the heap is left for all of them.
const REQUEST_BYTES = 8 * 1_024;
const REQUEST_HEAP_SHARE = 0.25;

interface ComputeCallerCapacityOptions {
    readonly heapLimitBytes: number;
}

/** Computes what a process can hold for callers from the memory and the descriptors of its machine. */
export const computeCallerCapacity = (
    { memoryBytes, maxDescriptors }: Pick<EntrySettings, "memoryBytes" | "maxDescriptors">,
    { heapLimitBytes }: ComputeCallerCapacityOptions,
): CallerCapacity => {
    const bufferBytes = Math.max(MIN_MEMORY_BYTES + GARBAGE_BYTES, memoryBytes - PROCESS_BYTES);
    const callerDescriptors = Math.floor(maxDescriptors * (1 - RESERVED_DESCRIPTOR_SHARE)) - RESERVED_DESCRIPTORS;
    return {
        memoryBytes: bufferBytes - GARBAGE_BYTES,
        bufferBytes,
        maxConnections: Math.max(MIN_CONNECTIONS, callerDescriptors),
        maxRequests: Math.floor(heapLimitBytes * REQUEST_HEAP_SHARE / REQUEST_BYTES),
    };
};
