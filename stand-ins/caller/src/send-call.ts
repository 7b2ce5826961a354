import { request } from "node:http";
import type { CallResult } from "./call-result.js";
import type { SendCallOptions } from "./send-call-options.js";

const readErrorCode = (error: Error): string => "code" in error ? String(error.code) : error.name;

/** Sends a call to an entry VM and waits for the end of the response. */
export const sendCall = (entry: string, opts: SendCallOptions): Promise<CallResult> =>
    new Promise(resolve => {
        const separator = entry.lastIndexOf(":");
        const fail = (error: Error) =>
            resolve({
                entry,
                status: undefined,
                headers: {},
                body: Buffer.alloc(0),
                errorCode: readErrorCode(error),
                connectionReused: clientRequest.reusedSocket,
            });
        const clientRequest = request({
            host: entry.slice(0, separator),
            port: Number(entry.slice(separator + 1)),
            method: opts.method,
            path: opts.path,
            headers: { ...opts.headers, "Content-Length": opts.body.length },
            agent: opts.agent,
            signal: opts.signal,
        }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", fail);
            response.on("end", () =>
                resolve({
                    entry,
                    status: response.statusCode,
                    headers: response.headers,
                    body: Buffer.concat(chunks),
                    errorCode: undefined,
                    connectionReused: clientRequest.reusedSocket,
                }));
        });
        clientRequest.on("error", fail);
        clientRequest.end(opts.body);
    });
