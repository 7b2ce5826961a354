import type { ServerResponse } from "node:http";

/** Sends a complete JSON response. */
export const sendJson = (
    response: ServerResponse,
    opts: {
        readonly status: number;
        readonly body: unknown;
        readonly headers?: Readonly<Record<string, string>>;
    },
): void => {
    const body = Buffer.from(JSON.stringify(opts.body));
    response.writeHead(opts.status, {
        "Content-Type": "application/json",
        "Content-Length": body.length,
        ...opts.headers,
    });
    response.end(body);
};
