/** End of a VM's process. */
export interface ProcessEnd {
    readonly vmId: string;
    readonly pid: number;
    /** Exit code, or the signal that ended the process. */
    readonly result: number | NodeJS.Signals;
    readonly sinceStartMs: number;
    /** Whether the process had logged that it handles signals. */
    readonly hadLoaded: boolean;
    /** The signal with which the soak test ended the process, if it did. */
    readonly requestedSignal: NodeJS.Signals | undefined;
    readonly lastLogLine: string;
}
