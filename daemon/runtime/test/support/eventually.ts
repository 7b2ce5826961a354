/** Waits until a condition holds. The limit is generous: a test states what happens, not how fast. */
export const eventually = async (
    condition: () => boolean | Promise<boolean>,
    opts: { readonly what: string; readonly withinMs?: number; },
): Promise<void> => {
    const untilMs = performance.now() + (opts.withinMs ?? 15_000);
    while (!await condition()) {
        if (performance.now() > untilMs) {
            throw new Error(`did not happen: ${opts.what}`);
        }
        await new Promise(resolve => setTimeout(resolve, 10));
    }
};
