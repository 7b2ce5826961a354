/** Response body of a request that was run, which echoes the request. */
export interface ResponseBody {
    readonly requestId: string;
    readonly instanceId: string;
    readonly method: string;
    /** Path and query as the server received them. */
    readonly path: string;
    /** Hexadecimal SHA-256 of the request body. */
    readonly bodyDigest: string;
    /** Length of this body, which lets the caller detect a truncated response. */
    readonly bytes: number;
    readonly padding: string;
}
