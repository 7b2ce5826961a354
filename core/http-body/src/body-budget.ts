import type { BodyReservations } from "./body-reservations.js";
import type { BudgetedBody } from "./budgeted-body.js";

interface BodyBudgetOptions {
    readonly maxBytes: number;
}

/** Limit on the memory of all bodies that a process collects at the same time. */
export class BodyBudget implements BodyReservations {
    private readonly maxBytes: number;
    private reservedBytes = 0;
    /** Incomplete bodies, which can be dropped. */
    private readonly incomplete = new Set<BudgetedBody>();

    constructor(opts: BodyBudgetOptions) {
        this.maxBytes = opts.maxBytes;
    }

    get usedBytes(): number {
        return this.reservedBytes;
    }

    add(body: BudgetedBody): void {
        this.incomplete.add(body);
    }

    /** Keeps the memory of a body reserved, but drops it no more. */
    markComplete(body: BudgetedBody): void {
        this.incomplete.delete(body);
    }

    /**
     * Reserves memory for a body that grows. Drops the largest incomplete bodies first if it would exceed the limit, as
     * a body without end outgrows the others. Returns false if the growing body is the largest and was dropped itself.
     */
    reserve(body: BudgetedBody, growthBytes: number): boolean {
        while (this.reservedBytes + growthBytes > this.maxBytes) {
            const largest = this.findLargest(body, growthBytes);
            largest.drop();
            if (largest === body) {
                return false;
            }
        }
        this.reservedBytes += growthBytes;
        return true;
    }

    /** Returns the memory of a body. */
    release(body: BudgetedBody, bytes: number): void {
        this.incomplete.delete(body);
        this.reservedBytes -= bytes;
    }

    private findLargest(growing: BudgetedBody, growthBytes: number): BudgetedBody {
        let largest = growing;
        let largestBytes = growing.capacityBytes + growthBytes;
        for (const body of this.incomplete) {
            if (body !== growing && body.capacityBytes > largestBytes) {
                largest = body;
                largestBytes = body.capacityBytes;
            }
        }
        return largest;
    }
}
