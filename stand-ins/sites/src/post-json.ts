/** Sends JSON to a control path and returns the JSON response. Throws unless the status is 2xx. */
export const postJson = async (
    url: string,
    opts: { readonly body?: unknown; readonly method?: string; } = {},
): Promise<unknown> => {
    const response = await fetch(url, {
        method: opts.method ?? "POST",
        ...opts.method === "GET" ? {} : { body: JSON.stringify(opts.body ?? {}) },
    });
    if (!response.ok) {
        throw new Error(`${url} responded with ${response.status}: ${await response.text()}`);
    }
    return await response.json();
};
