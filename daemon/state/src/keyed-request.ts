import type { RequestArrival } from "./request-arrival.js";

/** A request with an idempotency key, from its arrival until its claim is settled or refused. */
export interface KeyedRequest {
    readonly request: RequestArrival;
    /** Whether the claim was granted and the request passed to routing. */
    readonly isRouted: boolean;
}
