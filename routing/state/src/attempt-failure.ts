/**
 * How an attempt ended without a whole response. Only `connect-failed` proves that no byte reached the backend
 * server; `cancel-confirmed` proves that the backend server did not run it.
 */
export type AttemptFailure =
    | "connect-failed"
    | "connection-stale"
    | "reset"
    | "silent"
    | "body-cut"
    | "cancel-confirmed";
