// Headers that concern one connection.
const HOP_BY_HOP = new Set([
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

interface EndToEndHeadersOptions {
    /** The message's `Connection` header, which may name further headers of the connection. */
    readonly connection: string | undefined;
    /** Lower-case names of headers that the daemon states itself or keeps to itself. */
    readonly own: ReadonlySet<string>;
}

/** Headers of a message that go on to its other end, as a flat list of names and values, with room for more. */
export const endToEndHeaders = (rawHeaders: readonly string[], opts: EndToEndHeadersOptions): string[] => {
    const named = opts.connection === undefined || /^(?:close|keep-alive)$/i.test(opts.connection)
        ? undefined
        : new Set(opts.connection.toLowerCase().split(",").map(name => name.trim()));
    const headers: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        const lowerCase = name.toLowerCase();
        if (!opts.own.has(lowerCase) && !HOP_BY_HOP.has(lowerCase) && named?.has(lowerCase) !== true) {
            headers.push(name, rawHeaders[index + 1] ?? "");
        }
    }
    return headers;
};
