/** A complete response of a backend server, held in memory. */
export interface BufferedResponse {
    readonly statusCode: number;
    readonly rawHeaders: readonly string[];
    /** Value of the `Connection` header. */
    readonly connectionHeader: string | undefined;
    readonly body: Buffer;
    /**
     * Whether `Content-Length` or chunked encoding marks the end of the body. Otherwise the connection's end marked it,
     * and the body may be truncated.
     */
    readonly isFramed: boolean;
}
