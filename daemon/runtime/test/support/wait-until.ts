/** Polls until a condition holds. The default timeout is generous, because the tests do not check latencies. */
export const waitUntil = async (
    condition: () => boolean | Promise<boolean>,
    opts: { readonly description: string; readonly timeoutMs?: number; },
): Promise<void> => {
    const deadlineMs = performance.now() + (opts.timeoutMs ?? 15_000);
    while (!await condition()) {
        if (performance.now() > deadlineMs) {
            throw new Error(`timed out waiting until ${opts.description}`);
        }
        await new Promise(resolve => setTimeout(resolve, 10));
    }
};
