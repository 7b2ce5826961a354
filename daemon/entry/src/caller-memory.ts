import type { BodyReservations, BudgetedBody } from "@marigoldstall/core.http-body";
import { HeldMemory } from "./held-memory.js";
import type { MemoryHolder } from "./memory-holder.js";
import { selectYieldingHolder } from "./select-yielding-holder.js";

// Only requests with bodies up to this size and responses may use the last part of the memory, so that large bodies cannot
// keep out ordinary requests.
const SMALL_BODY_BYTES = 64 * 1_024;
const SHARE_OF_LARGE_BODIES = 15 / 16;

interface CallerMemoryOptions {
    readonly maxBytes: number;
    readonly nowMs: () => number;
    /** Called before memory is allocated, and for bytes that were read from a connection. */
    readonly onAllocated?: (bytes: number) => void;
    readonly onYielded?: (holder: MemoryHolder) => void;
}

/** The memory that requests of callers and the responses to them share. */
export class CallerMemory {
    readonly requests: BodyReservations;
    readonly responses: BodyReservations;
    readonly maxBytes: number;
    private readonly opts: CallerMemoryOptions;
    private readonly holders = new Map<BudgetedBody, HeldMemory>();
    private bodyBytes = 0;
    private partialHeadBytes = 0;

    constructor(opts: CallerMemoryOptions) {
        this.opts = opts;
        this.maxBytes = opts.maxBytes;
        this.requests = this.createReservations("receiving");
        this.responses = this.createReservations("response");
    }

    get usedBytes(): number {
        return this.bodyBytes + this.partialHeadBytes;
    }

    /** Counts the heads that have been received in part. */
    setPartialHeadBytes(bytes: number): void {
        this.partialHeadBytes = bytes;
    }

    /** Notes bytes of a body that arrived, whether they are kept or not. */
    noteReceived(body: BudgetedBody, bytes: number): void {
        this.opts.onAllocated?.(bytes);
        this.holders.get(body)?.noteReceived(bytes, { nowMs: this.opts.nowMs() });
    }

    /** Notes bytes that were read and belong to no body. */
    noteDiscarded(bytes: number): void {
        this.opts.onAllocated?.(bytes);
    }

    /** A response is being written. `drop` closes the connection of its caller. */
    markWriting(body: BudgetedBody, drop: () => void): void {
        const holder = this.holders.get(body);
        if (holder !== undefined) {
            holder.phase = "writing";
            holder.progressAtMs = this.opts.nowMs();
            holder.drop = drop;
        }
    }

    /** The caller has taken bytes of a response. */
    noteWritten(body: BudgetedBody): void {
        const holder = this.holders.get(body);
        if (holder !== undefined) {
            holder.progressAtMs = this.opts.nowMs();
        }
    }

    private createReservations(phase: "receiving" | "response"): BodyReservations {
        return {
            add: body => {
                const drop = (): void => {
                    body.drop();
                };
                this.holders.set(body, new HeldMemory({ phase, startedAtMs: this.opts.nowMs(), drop }));
            },
            markComplete: body => {
                const holder = this.holders.get(body);
                if (holder?.phase === "receiving") {
                    holder.phase = "forwarded";
                }
            },
            reserve: (body, growthBytes) => this.reserve(body, growthBytes),
            release: (body, bytes) => {
                this.bodyBytes -= bytes;
                this.holders.delete(body);
            },
        };
    }

    private reserve(body: BudgetedBody, growthBytes: number): boolean {
        const { onAllocated, onYielded, nowMs } = this.opts;
        const growing = this.holders.get(body);
        if (growing === undefined) {
            return false;
        }
        const isLarge = growing.phase === "receiving" && growing.heldBytes + growthBytes > SMALL_BODY_BYTES;
        const maxBytes = isLarge ? this.maxBytes * SHARE_OF_LARGE_BODIES : this.maxBytes;
        while (this.usedBytes + growthBytes > maxBytes) {
            const yielding: HeldMemory | undefined = selectYieldingHolder(this.holders.values(), {
                nowMs: nowMs(),
                growing,
                growthBytes,
            });
            const usedBytes = this.usedBytes;
            (yielding ?? growing).drop();
            onYielded?.(yielding ?? growing);
            if (yielding === undefined || yielding === growing || !this.holders.has(body)) {
                return false;
            }
            if (this.usedBytes >= usedBytes) {
                growing.drop();
                return false;
            }
        }
        onAllocated?.(growthBytes);
        growing.heldBytes += growthBytes;
        this.bodyBytes += growthBytes;
        return true;
    }
}
