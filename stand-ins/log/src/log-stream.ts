import type { LogPage } from "./log-page.js";
import type { LogRecord } from "./log-record.js";

interface StoredRecord extends LogRecord {
    readonly appendedAtMs: number;
}

/** In-memory append-only stream with time-based retention. */
export class LogStream {
    private records: StoredRecord[] = [];
    private nextOffset = 0;
    private readonly listeners = new Set<() => void>();
    private readonly waiting = new Set<() => void>();

    append(value: unknown, opts: { readonly atMs: number; }): number {
        const offset = this.nextOffset;
        this.nextOffset += 1;
        this.records.push({ offset, value, appendedAtMs: opts.atMs });
        for (const listener of [...this.listeners]) {
            listener();
        }
        return offset;
    }

    readPage(from: number, opts: { readonly limit: number; readonly repeatRecords?: number | undefined; }): LogPage {
        const firstOffset = this.records[0]?.offset ?? this.nextOffset;
        const start = Math.max(from - (opts.repeatRecords ?? 0), firstOffset) - firstOffset;
        const records = this.records.slice(start, start + opts.limit);
        return {
            firstOffset,
            nextOffset: this.nextOffset,
            records: records.map(record => ({ offset: record.offset, value: record.value })),
        };
    }

    /** Resolves when the record at `offset` has been appended, after `waitMs`, or when `signal` aborts. */
    async waitForOffset(
        offset: number,
        opts: { readonly waitMs: number; readonly signal: AbortSignal; },
    ): Promise<void> {
        if (this.nextOffset > offset || opts.waitMs <= 0 || opts.signal.aborted) {
            return;
        }
        await new Promise<void>(resolve => {
            const finish = () => {
                clearTimeout(timer);
                this.listeners.delete(onAppend);
                this.waiting.delete(finish);
                opts.signal.removeEventListener("abort", finish);
                resolve();
            };
            const onAppend = () => {
                if (this.nextOffset > offset) {
                    finish();
                }
            };
            const timer = setTimeout(finish, opts.waitMs);
            this.listeners.add(onAppend);
            this.waiting.add(finish);
            opts.signal.addEventListener("abort", finish);
        });
    }

    /** Removes the records from a time on and completes all long polls. */
    restore(copiedAtMs: number): void {
        const firstLost = this.records.findIndex(record => record.appendedAtMs >= copiedAtMs);
        if (firstLost !== -1) {
            this.nextOffset = this.records[firstLost]?.offset ?? this.nextOffset;
            this.records = this.records.slice(0, firstLost);
        }
        for (const finish of [...this.waiting]) {
            finish();
        }
    }

    removeOlderThan(atMs: number): void {
        const firstKept = this.records.findIndex(record => record.appendedAtMs >= atMs);
        this.records = firstKept === -1 ? [] : this.records.slice(firstKept);
    }

    removeBelow(offset: number): void {
        this.records = this.records.filter(record => record.offset >= offset);
    }
}
