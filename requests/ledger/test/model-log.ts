/** Simulates one stream of the log service. It drops records by age. */
export class ModelLog {
    firstOffset = 0;
    /** Rises with each restore. */
    era = 0;
    /** Number of appended records that restarted a lost stream. */
    restartCount = 0;
    private records: { readonly value: unknown; readonly atMs: number; }[] = [];

    append(value: unknown, atMs: number): void {
        const nextOffset = this.firstOffset + this.records.length;
        this.restartCount += (value as { restartAtOffset?: number; }).restartAtOffset === nextOffset ? 1 : 0;
        this.records.push({ value: JSON.parse(JSON.stringify(value)), atMs });
    }

    truncate(beforeMs: number): void {
        const kept = this.records.filter(record => record.atMs >= beforeMs);
        this.firstOffset += this.records.length - kept.length;
        this.records = kept;
    }

    /** Replaces the records by those that were there at an earlier time. Their offsets are given out again. */
    restore(copiedAtMs: number): void {
        this.records = this.records.filter(record => record.atMs < copiedAtMs);
        this.era += 1;
    }

    read(fromOffset: number) {
        const from = Math.max(fromOffset, this.firstOffset);
        const records = this.records.slice(from - this.firstOffset, from - this.firstOffset + 100)
            .map(({ value }, index) => ({ offset: from + index, value }));
        return { era: this.era, firstOffset: this.firstOffset, nextOffset: from + records.length, records };
    }
}
