/** Total bytes and HTTP requests of a daemon, by `to:PORT` for outgoing and `at:PORT` for incoming connections. */
export interface TrafficSample {
    readonly atMs: number;
    readonly ports: Readonly<
        Record<string, { readonly read: number; readonly written: number; readonly messages: number; }>
    >;
}
