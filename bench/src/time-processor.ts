const MICROSECONDS_PER_MS = 1000;

/** Processor time of this process, all threads together, that work takes, in milliseconds. */
export const timeProcessor = async (work: () => void | Promise<void>): Promise<number> => {
    const before = process.cpuUsage();
    await work();
    const used = process.cpuUsage(before);
    return (used.user + used.system) / MICROSECONDS_PER_MS;
};
