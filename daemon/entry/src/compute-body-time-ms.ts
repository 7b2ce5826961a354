// Far slower than the slowest link of a VM, 7 Mbit/s, divided among a hundred callers.
const MIN_BYTES_PER_MS = 8;
// The response to a request that comes later than its deadline would not be used. Leaves time for delays in the network.
const DEADLINE_MARGIN_MS = 1_000;

interface BodyTimeOptions {
    /** Length that the caller announced, or the largest that is accepted. */
    readonly bodyBytes: number;
    readonly idleTimeoutMs: number;
    /** Time that the caller leaves for the response, from the arrival of the head. */
    readonly deadlineMs: number | undefined;
}

/** Computes how long a body may take as a whole. */
export const computeBodyTimeMs = ({ bodyBytes, idleTimeoutMs, deadlineMs = Infinity }: BodyTimeOptions): number =>
    Math.min(idleTimeoutMs + bodyBytes / MIN_BYTES_PER_MS, Math.max(idleTimeoutMs, deadlineMs + DEADLINE_MARGIN_MS));
