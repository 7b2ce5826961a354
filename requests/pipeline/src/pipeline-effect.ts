/** What the listener does for a caller's connection. */
export type PipelineEffect =
    /** Passes a complete request on. */
    | { readonly type: "forward-request"; readonly requestKey: string; }
    /** Leaves a request without a response. It was not passed on, and the caller sends it again. */
    | { readonly type: "ignore-request"; readonly requestKey: string; }
    /** Writes a response, and closes the connection after it if it is the last one. */
    | { readonly type: "write-response"; readonly requestKey: string; readonly isLastResponse: boolean; }
    /** Answers a request that was not received completely. Its response is the last one. */
    | { readonly type: "reject-request"; readonly requestKey: string; readonly statusCode: number; }
    /** Answers input that is no request, and closes the connection. */
    | { readonly type: "write-error"; readonly statusCode: number; }
    /** Ends a request whose response can no longer be written. */
    | { readonly type: "abandon-request"; readonly requestKey: string; };
