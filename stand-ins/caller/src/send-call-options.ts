import type { Agent } from "node:http";

/** Options of {@link sendCall}. */
export interface SendCallOptions {
    readonly agent: Agent;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
    readonly signal: AbortSignal;
}
