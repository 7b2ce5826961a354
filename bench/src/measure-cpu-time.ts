const MICROSECONDS_PER_MS = 1000;

/** Runs a function and returns the CPU time that all threads of this process used meanwhile, in milliseconds. */
export const measureCpuTime = async (work: () => void | Promise<void>): Promise<number> => {
    const before = process.cpuUsage();
    await work();
    const used = process.cpuUsage(before);
    return (used.user + used.system) / MICROSECONDS_PER_MS;
};
