/** Body of an answer to a request that ran. */
export interface AnswerBody {
    readonly requestId: string;
    readonly instanceId: string;
    readonly method: string;
    /** Path and query as the server received them. */
    readonly path: string;
    /** SHA-256 of the request's body, in hexadecimal. */
    readonly bodyDigest: string;
    /** Length of this body, so that a reader sees whether it is whole. */
    readonly bytes: number;
    readonly padding: string;
}
