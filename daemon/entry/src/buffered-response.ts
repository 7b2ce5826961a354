import type { BodyBytes } from "./body-bytes.js";
import type { PooledBody } from "./pooled-body.js";

/** A complete response of a backend server, held in memory. */
export interface BufferedResponse {
    readonly statusCode: number;
    readonly rawHeaders: readonly string[];
    /** Value of the `Connection` header. */
    readonly connectionHeader: string | undefined;
    readonly body: BodyBytes;
    /** Holds the memory of the body, which is returned once the body was written or is not needed. */
    readonly collector?: PooledBody;
    /**
     * Whether `Content-Length` or chunked encoding marks the end of the body. Otherwise the connection's end marked it,
     * and the body may be truncated.
     */
    readonly isFramed: boolean;
}
