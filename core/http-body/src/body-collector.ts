import type { BodyLimit } from "./body-limit.js";
import type { BodyReservations } from "./body-reservations.js";
import type { BudgetedBody } from "./budgeted-body.js";

const GROWTH_FACTOR = 2;
// Smallest capacity of a body that came in more than one piece.
const MIN_GROWN_BYTES = 1_024;
const EMPTY = Buffer.alloc(0);

interface BodyCollectorOptions {
    readonly maxBytes: number;
    /** Limit that this body shares with others. */
    readonly budget?: BodyReservations;
    /** Called once when the body exceeds a limit. Its bytes are gone then, and further ones are ignored. */
    readonly onExceeded: (limit: BodyLimit) => void;
}

/**
 * Collects a body. A piece kept as an object of its own costs over 100 bytes, whatever its length, so the pieces are
 * copied into one buffer.
 */
export class BodyCollector implements BudgetedBody {
    private readonly opts: BodyCollectorOptions;
    private buffer = EMPTY;
    private length = 0;
    /** Memory reserved in the budget. */
    private reservedBytes = 0;
    private state: "collecting" | "complete" | "dropped" = "collecting";

    constructor(opts: BodyCollectorOptions) {
        this.opts = opts;
        opts.budget?.add(this);
    }

    get capacityBytes(): number {
        return this.reservedBytes;
    }

    get byteCount(): number {
        return this.length;
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
        if (length > this.buffer.length && !this.grow(length)) {
            return;
        }
        piece.copy(this.buffer, this.length);
        this.length = length;
    }

    /** Returns the complete body. Its memory stays reserved in the budget until it is released. */
    complete(): Buffer {
        if (this.state === "collecting") {
            this.state = "complete";
            this.opts.budget?.markComplete(this);
        }
        return this.buffer.subarray(0, this.length);
    }

    /** Returns the memory to the budget. Ends the collection if the body is incomplete. */
    release(): void {
        this.state = this.state === "collecting" ? "dropped" : this.state;
        this.buffer = EMPTY;
        this.length = 0;
        this.opts.budget?.release(this, this.reservedBytes);
        this.reservedBytes = 0;
    }

    drop(): void {
        this.exceed("total-size");
    }

    /** Returns false if the body was dropped instead. */
    private grow(neededBytes: number): boolean {
        const isFirstPiece = this.buffer.length === 0;
        const grownBytes = Math.max(neededBytes, MIN_GROWN_BYTES, GROWTH_FACTOR * this.buffer.length);
        const capacityBytes = isFirstPiece ? neededBytes : Math.min(this.opts.maxBytes, grownBytes);
        if (this.opts.budget?.reserve(this, capacityBytes - this.reservedBytes) === false) {
            return false;
        }
        this.reservedBytes = capacityBytes;
        const grown = Buffer.allocUnsafe(capacityBytes);
        this.buffer.copy(grown, 0, 0, this.length);
        this.buffer = grown;
        return true;
    }

    private exceed(limit: BodyLimit): void {
        this.state = "dropped";
        this.release();
        this.opts.onExceeded(limit);
    }
}
