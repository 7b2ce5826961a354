import { request as httpRequest } from "node:http";

const DEFAULT_TIMEOUT_MS = 1_000;

interface FetchStatusOptions {
    readonly path: string;
    /** Value of the `Host` header. */
    readonly host?: string;
    readonly timeoutMs?: number;
}

/** Sends a GET request on a new connection. Returns the status code, or undefined if no response arrived in time. */
export const fetchStatus = (address: string, opts: FetchStatusOptions): Promise<number | undefined> => {
    const { path, timeoutMs = DEFAULT_TIMEOUT_MS } = opts;
    const [host = "", port = ""] = address.split(":");
    return new Promise(resolve => {
        const headers = { "Host": opts.host ?? host, "X-Request-Id": `GET ${path}`, "X-Deadline-Ms": timeoutMs };
        const request = httpRequest({ host, port, path, headers, agent: false, timeout: timeoutMs }, response => {
            response.resume();
            resolve(response.statusCode);
        });
        request.on("timeout", () => request.destroy());
        request.on("error", () => {
            resolve(undefined);
        });
        request.end();
    });
};
