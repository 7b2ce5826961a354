import type { BodyBytes } from "./body-bytes.js";
import type { PooledBody } from "./pooled-body.js";

/** A response to a caller that waits for its turn on the connection. */
export interface CallerReply {
    readonly statusCode: number;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly body: BodyBytes | undefined;
    /** Holds the memory of the body. */
    readonly collector?: PooledBody | undefined;
    /** Whether the headers delimit the body. Otherwise the end of the connection does. */
    readonly isFramed: boolean;
}
