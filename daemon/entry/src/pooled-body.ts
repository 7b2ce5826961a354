import type { BodyLimit, BodyReservations, BudgetedBody } from "@marigoldstall/core.http-body";
import type { BlockPool } from "./block-pool.js";
import type { BodyBytes } from "./body-bytes.js";
import { SegmentedBody } from "./segmented-body.js";

// A smaller body has one buffer of its own, which grows.
const MAX_SMALL_BYTES = 32 * 1_024;
const MIN_GROWN_BYTES = 1_024;
const GROWTH_FACTOR = 2;
const EMPTY = Buffer.alloc(0);

interface PooledBodyOptions {
    readonly maxBytes: number;
    readonly reservations: BodyReservations;
    readonly pool: BlockPool;
    /** Called once when the body exceeds a limit. Its bytes are gone then, and further ones are ignored. */
    readonly onExceeded: (limit: BodyLimit) => void;
}

/** Collects a body in blocks of a pool. The blocks return to the pool once nobody uses them any more. */
export class PooledBody implements BudgetedBody {
    private readonly opts: PooledBodyOptions;
    private small = EMPTY;
    private blocks: Buffer[] = [];
    private length = 0;
    /** Memory that is reserved. */
    private reservedBytes = 0;
    private state: "collecting" | "complete" | "dropped" = "collecting";
    /** Users of the bytes beside the owner. */
    private userCount = 0;
    private isReleased = false;

    constructor(opts: PooledBodyOptions) {
        this.opts = opts;
        opts.reservations.add(this);
    }

    get capacityBytes(): number {
        return this.reservedBytes;
    }

    get byteCount(): number {
        return this.length;
    }

    get isCollecting(): boolean {
        return this.state === "collecting";
    }

    append(piece: Buffer): void {
        if (this.state !== "collecting") {
            return;
        }
        const length = this.length + piece.length;
        if (length > this.opts.maxBytes) {
            this.exceed("body-size");
            return;
        }
        if (length <= MAX_SMALL_BYTES) {
            if (length > this.small.length && !this.growSmall(length)) {
                return;
            }
            piece.copy(this.small, this.length);
            this.length = length;
            return;
        }
        if (this.blocks.length === 0 && !this.moveToBlock()) {
            return;
        }
        this.appendToBlocks(piece);
    }

    /** Returns the complete body. Its memory stays reserved until it is released. */
    complete(): BodyBytes {
        if (this.state === "collecting") {
            this.state = "complete";
            this.opts.reservations.markComplete(this);
        }
        if (this.blocks.length === 0) {
            return this.small.subarray(0, this.length);
        }
        const { blockBytes } = this.opts.pool;
        return new SegmentedBody(
            this.blocks.map((block, index) =>
                block.subarray(0, Math.min(blockBytes, this.length - index * blockBytes))
            ),
        );
    }

    /** Keeps the bytes for a further user, until the returned function is called. */
    retain(): () => void {
        let isRetained = true;
        this.userCount += 1;
        return () => {
            if (isRetained) {
                isRetained = false;
                this.userCount -= 1;
                this.recycle();
            }
        };
    }

    /** Ends the use by the owner. Ends the collection if the body is incomplete. */
    release(): void {
        this.returnReservation();
        this.isReleased = true;
        this.recycle();
    }

    /** Ends the use by the owner while a write may still be in progress, so that the blocks cannot be used again. */
    forfeit(): void {
        this.returnReservation();
        this.blocks = [];
    }

    drop(): void {
        this.exceed("total-size");
    }

    private returnReservation(): void {
        this.state = this.state === "collecting" ? "dropped" : this.state;
        this.length = 0;
        this.small = EMPTY;
        this.opts.reservations.release(this, this.reservedBytes);
        this.reservedBytes = 0;
    }

    private recycle(): void {
        if (this.isReleased && this.userCount === 0) {
            this.opts.pool.give(this.blocks);
            this.blocks = [];
        }
    }

    /** Returns false if the body was dropped instead. */
    private reserve(growthBytes: number): boolean {
        if (!this.opts.reservations.reserve(this, growthBytes)) {
            return false;
        }
        this.reservedBytes += growthBytes;
        return true;
    }

    private growSmall(neededBytes: number): boolean {
        const isFirstPiece = this.small.length === 0;
        const grownBytes = Math.max(neededBytes, MIN_GROWN_BYTES, GROWTH_FACTOR * this.small.length);
        const capacityBytes = isFirstPiece ? neededBytes : Math.min(MAX_SMALL_BYTES, grownBytes);
        if (!this.reserve(capacityBytes - this.reservedBytes)) {
            return false;
        }
        const grown = Buffer.allocUnsafeSlow(capacityBytes);
        this.small.copy(grown, 0, 0, this.length);
        this.small = grown;
        return true;
    }

    private moveToBlock(): boolean {
        if (!this.reserve(this.opts.pool.blockBytes - this.reservedBytes)) {
            return false;
        }
        const block = this.opts.pool.take();
        this.small.copy(block, 0, 0, this.length);
        this.small = EMPTY;
        this.blocks.push(block);
        return true;
    }

    private appendToBlocks(piece: Buffer): void {
        const { blockBytes } = this.opts.pool;
        for (let start = 0; start < piece.length;) {
            const index = Math.floor(this.length / blockBytes);
            if (index === this.blocks.length) {
                if (!this.reserve(blockBytes)) {
                    return;
                }
                this.blocks.push(this.opts.pool.take());
            }
            const copied = piece.copy(this.blocks[index] ?? EMPTY, this.length % blockBytes, start);
            start += copied;
            this.length += copied;
        }
    }

    private exceed(limit: BodyLimit): void {
        this.state = "dropped";
        this.release();
        this.opts.onExceeded(limit);
    }
}
