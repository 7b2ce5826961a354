/** A response of a backend server that arrived whole. */
export interface ServerResponseWhole {
    readonly statusCode: number;
    readonly rawHeaders: readonly string[];
    readonly connection: string | undefined;
    readonly body: Buffer;
    /** Whether a length or chunks mark its end; otherwise it ended with the connection and may have been cut. */
    readonly isFramed: boolean;
}
