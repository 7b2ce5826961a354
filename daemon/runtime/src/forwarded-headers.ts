// Headers that concern one connection, and those that the daemon states itself.
const DROPPED = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "request-id",
    "request-timeout-ms",
    "marigoldstall-attempt",
    "marigoldstall-class",
    "marigoldstall-outcome",
    "marigoldstall-reason",
    "load-report",
    "instance-id",
    "draining",
    "not-run",
]);

/** End-to-end headers of a message as a flat list of names and values, with room for the caller to add more. */
export const forwardedHeaders = (
    rawHeaders: readonly string[],
    opts: { readonly connection: string | undefined; readonly isRequest: boolean; },
): string[] => {
    const named = opts.connection === undefined || /^(?:close|keep-alive)$/i.test(opts.connection)
        ? undefined
        : new Set(opts.connection.toLowerCase().split(",").map(name => name.trim()));
    const headers: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] as string;
        const lowerCase = name.toLowerCase();
        // The daemon states the length and the host of a request itself, whatever the caller names as hop-by-hop.
        const isOwn = opts.isRequest && (lowerCase === "content-length" || lowerCase === "host");
        if (isOwn || DROPPED.has(lowerCase) || named?.has(lowerCase) === true) {
            continue;
        }
        headers.push(name, rawHeaders[index + 1] as string);
    }
    return headers;
};
