import type { ManagedProcess } from "@marigoldstall-private/sites";
import { closeSync, existsSync, openSync, readFileSync, readSync, statSync } from "node:fs";
import type { ProcessEnd } from "./process-end.js";

interface WatchedProcess {
    readonly vmId: string;
    readonly process: ManagedProcess;
    readonly logFile: string;
    /** Size of the VM's log when the process started. */
    readonly logOffset: number;
    readonly startedAtMs: number;
}

interface ProcessWatchOptions {
    /** Called once a process has logged that it handles signals. */
    readonly onLoaded: (vmId: string) => void;
    /** Called when a process has ended before the watch was stopped. */
    readonly onEnded: (vmId: string) => void;
}

// The first moments in which a process handles signals are of interest, so the log is read often.
const LOG_INTERVAL_MS = 5;
const MEMORY_INTERVAL_MS = 500;
const LAST_LINE_BYTES = 4_096;
const KB_PER_MB = 1_024;

/** Records how each process of a site ends, and whether the soak test ended it. */
export class ProcessWatch {
    readonly ends: ProcessEnd[] = [];
    startCount = 0;
    /** Highest resident memory of any process so far. */
    highestMemoryMb = 0;
    private readonly opts: ProcessWatchOptions;
    private readonly watched = new Map<string, WatchedProcess>();
    private readonly loaded = new Set<ManagedProcess>();
    private readonly requestedSignals = new Map<ManagedProcess, NodeJS.Signals>();
    private readonly timers: readonly NodeJS.Timeout[];
    private isStopping = false;

    constructor(opts: ProcessWatchOptions) {
        this.opts = opts;
        this.timers = [
            setInterval(() => {
                this.findLoaded();
            }, LOG_INTERVAL_MS),
            setInterval(() => {
                this.readMemory();
            }, MEMORY_INTERVAL_MS),
        ];
    }

    add(vmId: string, process: ManagedProcess, opts: { readonly logFile: string; }): void {
        const watched = {
            vmId,
            process,
            logFile: opts.logFile,
            logOffset: existsSync(opts.logFile) ? statSync(opts.logFile).size : 0,
            startedAtMs: performance.now(),
        };
        this.startCount += 1;
        this.watched.set(vmId, watched);
        void process.exited.then(result => {
            this.recordEnd(watched, result);
        });
    }

    /** Whether the VM's process runs and handles signals. */
    hasLoaded(vmId: string): boolean {
        const watched = this.watched.get(vmId);
        return watched?.process.running === true && this.loaded.has(watched.process);
    }

    /** Ends the VM's process with a signal. */
    end(vmId: string, signal: NodeJS.Signals): void {
        const watched = this.watched.get(vmId);
        if (watched?.process.running === true && !this.requestedSignals.has(watched.process)) {
            this.requestedSignals.set(watched.process, signal);
            watched.process.kill(signal);
        }
    }

    /** From now on, each process ends because the soak test ends it. */
    stop(): void {
        this.isStopping = true;
        for (const timer of this.timers) {
            clearInterval(timer);
        }
        for (const { process } of this.watched.values()) {
            if (process.running && !this.requestedSignals.has(process)) {
                this.requestedSignals.set(process, "SIGTERM");
            }
        }
    }

    private recordEnd(watched: WatchedProcess, result: number | NodeJS.Signals): void {
        const { vmId, process, startedAtMs } = watched;
        const lines = readFrom(
            watched.logFile,
            Math.max(watched.logOffset, statSync(watched.logFile).size - LAST_LINE_BYTES),
        );
        this.ends.push({
            vmId,
            pid: process.pid,
            result,
            sinceStartMs: Math.round(performance.now() - startedAtMs),
            hadLoaded: this.loaded.has(process) || hasLoadingLine(watched),
            requestedSignal: this.requestedSignals.get(process),
            lastLogLine: lines.trimEnd().split("\n").at(-1) ?? "",
        });
        if (!this.isStopping) {
            this.opts.onEnded(vmId);
        }
    }

    private findLoaded(): void {
        for (const watched of this.watched.values()) {
            if (!this.loaded.has(watched.process) && watched.process.running && hasLoadingLine(watched)) {
                this.loaded.add(watched.process);
                this.opts.onLoaded(watched.vmId);
            }
        }
    }

    private readMemory(): void {
        for (const { process } of this.watched.values()) {
            const file = `/proc/${process.pid}/status`;
            if (process.running && existsSync(file)) {
                const highestKb = Number(/VmHWM:\s+(\d+)/.exec(readFileSync(file, "utf8"))?.[1] ?? 0);
                this.highestMemoryMb = Math.max(this.highestMemoryMb, Math.round(highestKb / KB_PER_MB));
            }
        }
    }
}

const hasLoadingLine = ({ process, logFile, logOffset }: WatchedProcess): boolean =>
    readFrom(logFile, logOffset).includes(`"kind":"loading","pid":${process.pid},`);

const readFrom = (file: string, offset: number): string => {
    const descriptor = openSync(file, "r");
    const buffer = Buffer.alloc(LAST_LINE_BYTES);
    const size = readSync(descriptor, buffer, 0, LAST_LINE_BYTES, offset);
    closeSync(descriptor);
    return buffer.toString("utf8", 0, size);
};
