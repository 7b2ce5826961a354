import { type Agent, request as httpRequest } from "node:http";
import type { Answer } from "./answer.js";

interface SendRequestOptions {
    readonly path: string;
    readonly method?: string;
    readonly headers?: Record<string, string>;
    readonly body?: string | Buffer;
    readonly agent?: Agent;
    readonly signal?: AbortSignal;
}

/** Sends a request as a caller. If the connection breaks, the answer is incomplete. */
export const sendRequest = (address: string, opts: SendRequestOptions): Promise<Answer> =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const request = httpRequest({
            host,
            port: Number(port),
            method: opts.method ?? "GET",
            path: opts.path,
            headers: opts.headers ?? {},
            ...opts.agent === undefined ? { agent: false } : { agent: opts.agent },
            ...opts.signal === undefined ? {} : { signal: opts.signal },
        }, response => {
            const chunks: Buffer[] = [];
            const finish = (): void => {
                resolve({
                    statusCode: response.statusCode,
                    headers: response.headers,
                    body: Buffer.concat(chunks).toString("utf8"),
                    complete: response.complete,
                });
            };
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", () => undefined);
            response.on("close", finish);
        });
        request.on("error", () => {
            resolve({ statusCode: undefined, headers: {}, body: "", complete: false });
        });
        request.end(opts.body);
    });
