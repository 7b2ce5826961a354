import { request } from "node:http";
import type { SendCallOptions } from "./send-call-options.js";
import type { SentCall } from "./sent-call.js";

const readErrorCode = (error: Error): string => "code" in error ? String(error.code) : error.name;

/** Sends one call to one entry and waits for the end of its answer. */
export const sendCall = (entry: string, opts: SendCallOptions): Promise<SentCall> =>
    new Promise(resolve => {
        const separator = entry.lastIndexOf(":");
        const fail = (error: Error) =>
            resolve({
                entry,
                status: undefined,
                headers: {},
                body: Buffer.alloc(0),
                errorCode: readErrorCode(error),
                connectionReused: sent.reusedSocket,
            });
        const sent = request({
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
                    connectionReused: sent.reusedSocket,
                }));
        });
        sent.on("error", fail);
        sent.end(opts.body);
    });
