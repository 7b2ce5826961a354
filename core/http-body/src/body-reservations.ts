import type { BudgetedBody } from "./budgeted-body.js";

/** Memory that bodies share. */
export interface BodyReservations {
    add(body: BudgetedBody): void;
    /** Keeps the memory of a body that has been read completely. */
    markComplete(body: BudgetedBody): void;
    /** Reserves memory for a body that grows. May drop other bodies. Returns false if the body was dropped itself. */
    reserve(body: BudgetedBody, growthBytes: number): boolean;
    /** Returns memory of a body that is not needed any more. */
    release(body: BudgetedBody, bytes: number): void;
}
