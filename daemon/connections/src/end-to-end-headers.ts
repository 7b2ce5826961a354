// Hop-by-hop headers, which apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS = new Set([
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
]);

// The parser accepts no other character that is not part of a token.
const isHeaderName = (name: string): boolean => name !== "" && !name.includes(" ");

interface EndToEndHeadersOptions {
    /** `Connection` header of the message, which can list further hop-by-hop headers. */
    readonly connection: string | undefined;
    /** Lower-case names of headers that the daemon sets itself or does not forward. */
    readonly excluded: ReadonlySet<string>;
}

/**
 * Returns the headers of a message to forward, as a flat list of names and values to which more can be added.
 * Node.js reads header names that it refuses to write. Whitespace before the colon is removed, as RFC 9112 asks of a
 * proxy (section 5.1), and a header without a valid name is dropped.
 */
export const endToEndHeaders = (rawHeaders: readonly string[], opts: EndToEndHeadersOptions): string[] => {
    const connectionOptions = opts.connection === undefined || /^(?:close|keep-alive)$/i.test(opts.connection)
        ? undefined
        : new Set(opts.connection.toLowerCase().split(",").map(name => name.trim()));
    const headers: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = (rawHeaders[index] ?? "").trimEnd();
        const lowerCase = name.toLowerCase();
        if (
            isHeaderName(name) && !opts.excluded.has(lowerCase) && !HOP_BY_HOP_HEADERS.has(lowerCase)
            && connectionOptions?.has(lowerCase) !== true
        ) {
            headers.push(name, rawHeaders[index + 1] ?? "");
        }
    }
    return headers;
};
