/** Event on a caller's connection. */
export type PipelineEvent =
    /** The headers of a request were read. */
    | {
        readonly type: "request-started";
        readonly requestKey: string;
        /** Whether the caller asks to close the connection after the response. */
        readonly isLastRequest: boolean;
    }
    /** A request was read completely. */
    | { readonly type: "request-read"; readonly requestKey: string; }
    /** A request was passed on. */
    | { readonly type: "request-forwarded"; readonly requestKey: string; readonly isIdempotent: boolean; }
    | {
        readonly type: "response-ready";
        readonly requestKey: string;
        /** Whether the connection has to close after the response, as for one without a length. */
        readonly isLastResponse: boolean;
    }
    /** A response was handed to the operating system completely. */
    | { readonly type: "response-written"; readonly requestKey: string; }
    /** The caller sent something that is no request, or too slowly. Nothing more is read from the connection. */
    | {
        readonly type: "input-failed";
        /** The request that was being received, if any. */
        readonly requestKey: string | undefined;
        readonly statusCode: number;
    }
    /** The listener ends its side of the connection. */
    | { readonly type: "connection-closing"; }
    | { readonly type: "connection-closed"; };
