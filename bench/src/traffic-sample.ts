/** Bytes and HTTP requests of a daemon's sockets so far, by `to:PORT` for its own calls and `at:PORT` for others'. */
export interface TrafficSample {
    readonly atMs: number;
    readonly ports: Readonly<
        Record<string, { readonly read: number; readonly written: number; readonly messages: number; }>
    >;
}
