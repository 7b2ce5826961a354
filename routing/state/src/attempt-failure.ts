/**
 * How an attempt ended without a complete response. Only `connect-failed` proves that no byte reached the backend
 * server; `cancel-confirmed` proves that the backend server did not run the request.
 */
export type AttemptFailure =
    | "connect-failed"
    | "connection-stale"
    | "reset"
    | "silent"
    | "body-cut"
    | "cancel-confirmed";
