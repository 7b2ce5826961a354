import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { createInterface } from "node:readline";

/** Child process that is signalled only through its handle. */
export class ManagedProcess {
    readonly name: string;
    readonly pid: number;
    /** Resolves with the exit code, or with the signal that terminated the process. */
    readonly exited: Promise<number | NodeJS.Signals>;
    private readonly child: ChildProcess;
    private readonly logFile: string;
    private ended = false;

    constructor(opts: {
        readonly name: string;
        readonly command: readonly string[];
        /** Receives standard error, and also standard output unless `readsFirstLine` is set. */
        readonly logFile: string;
        readonly readsFirstLine?: boolean;
        readonly environment?: Readonly<Record<string, string>>;
    }) {
        this.name = opts.name;
        this.logFile = opts.logFile;
        const [program = "", ...args] = opts.command;
        const log = openSync(opts.logFile, "a");
        this.child = spawn(program, args, {
            stdio: ["pipe", opts.readsFirstLine === true ? "pipe" : log, log],
            env: { ...process.env, ...opts.environment },
        });
        closeSync(log);
        this.pid = this.child.pid ?? 0;
        this.child.stdin?.on("error", () => undefined);
        this.exited = new Promise((resolve, reject) => {
            this.child.once("error", reject);
            this.child.once("exit", (code, signal) => {
                this.ended = true;
                resolve(code ?? signal ?? 1);
            });
        });
        this.exited.catch(() => undefined);
    }

    get running(): boolean {
        return this.pid !== 0 && !this.ended;
    }

    /** Reads and parses the line of JSON that a stand-in prints once it listens. */
    async firstLine(): Promise<unknown> {
        const lines = createInterface({ input: this.child.stdout ?? process.stdin });
        const line = await Promise.race([
            new Promise<string>(resolve => lines.once("line", resolve)),
            this.exited.then(code => {
                throw new Error(`${this.name} exited with ${code} before it listened; see ${this.logFile}`);
            }),
        ]);
        return JSON.parse(line);
    }

    write(line: string): void {
        this.child.stdin?.write(`${line}\n`);
    }

    kill(signal: NodeJS.Signals): void {
        if (this.running) {
            this.child.kill(signal);
        }
    }

    /** Closes standard input and sends SIGTERM, then SIGKILL after `graceMs`. */
    async stop(opts: { readonly graceMs: number; }): Promise<void> {
        if (!this.running) {
            return;
        }
        this.child.stdin?.end();
        this.kill("SIGTERM");
        const timer = setTimeout(() => this.kill("SIGKILL"), opts.graceMs);
        await this.exited;
        clearTimeout(timer);
    }
}
