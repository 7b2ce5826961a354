import type { RequestState } from "./request-state.js";

interface WaitingRequest {
    readonly request: RequestState;
    /** Least time that the request needs on a server. */
    readonly workMs: number;
}

const isOnTime = (waiting: WaitingRequest, atMs: number): boolean =>
    atMs + waiting.workMs <= waiting.request.targetAtMs;

/**
 * Orders waiting requests: those that can still meet their latency target first, then by priority, most urgent
 * first, then by the earliest target.
 */
export const compareWaitingRequests = (a: WaitingRequest, b: WaitingRequest, atMs: number): number =>
    Number(isOnTime(b, atMs)) - Number(isOnTime(a, atMs))
    || a.request.priority - b.request.priority
    || a.request.targetAtMs - b.request.targetAtMs;
