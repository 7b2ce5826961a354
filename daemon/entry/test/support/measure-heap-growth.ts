const SAMPLE_INTERVAL_MS = 20;

/** Runs a task and returns by how much the heap grew at most while it ran. */
export const measureHeapGrowth = async <T>(
    task: () => Promise<T>,
): Promise<{ readonly result: T; readonly growthBytes: number; }> => {
    const startBytes = process.memoryUsage().heapUsed;
    let peakBytes = startBytes;
    const sample = (): void => {
        peakBytes = Math.max(peakBytes, process.memoryUsage().heapUsed);
    };
    const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
    const result = await task();
    sample();
    clearInterval(timer);
    return { result, growthBytes: peakBytes - startBytes };
};
