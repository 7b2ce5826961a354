import type { RequestState } from "./request-state.js";

interface Waiting {
    readonly request: RequestState;
    /** Least time that the request still needs. */
    readonly neededMs: number;
}

const isOnTime = (waiting: Waiting, atMs: number): boolean => atMs + waiting.neededMs <= waiting.request.targetAtMs;

/**
 * Order of waiting requests: those that can still be on time before those that cannot, the more urgent route first,
 * and then those with least time left.
 */
export const compareWaiting = (a: Waiting, b: Waiting, atMs: number): number =>
    Number(isOnTime(b, atMs)) - Number(isOnTime(a, atMs))
    || a.request.route.priority - b.request.route.priority
    || a.request.targetAtMs - b.request.targetAtMs;
