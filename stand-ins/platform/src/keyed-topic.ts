const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

/** Topic that keeps its records in order, and indexes the newest record of each key. An empty value deletes the key. */
export class KeyedTopic {
    private readonly records: Buffer[] = [];
    private readonly newestByKey = new Map<string, { readonly offset: number; readonly value: Buffer; }>();
    private firstOffset = 0;

    get endOffset(): number {
        return this.firstOffset + this.records.length;
    }

    put(key: string, value: string): number {
        const keyBytes = Buffer.from(key);
        return this.append(Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]));
    }

    append(content: Buffer): number {
        const offset = this.endOffset;
        const keyLength = content[0] ?? 0;
        const key = content.toString("utf8", 1, 1 + keyLength);
        const value = content.subarray(1 + keyLength);
        this.records.push(content);
        if (value.length === 0) {
            this.newestByKey.delete(key);
        }
        else {
            this.newestByKey.set(key, { offset, value });
        }
        return offset;
    }

    /** Discards all records. The newest record of each key can still be listed. */
    truncate(): void {
        this.firstOffset = this.endOffset;
        this.records.length = 0;
    }

    /** Returns the encoded records from `fromOffset` on, or undefined when that offset has been truncated. */
    read(fromOffset: number): Buffer | undefined {
        if (fromOffset < this.firstOffset) {
            return undefined;
        }
        const header = Buffer.alloc(2 * OFFSET_BYTES);
        header.writeBigUInt64BE(BigInt(this.endOffset), 0);
        header.writeBigUInt64BE(BigInt(this.firstOffset), OFFSET_BYTES);
        const records = this.records.slice(fromOffset - this.firstOffset).map(content => {
            const length = Buffer.alloc(LENGTH_BYTES);
            length.writeUInt32BE(content.length);
            return Buffer.concat([length, content]);
        });
        return Buffer.concat([header, ...records]);
    }

    listNewest(): unknown {
        const items = [...this.newestByKey].map(([key, { offset, value }]) => ({
            key,
            value: value.toString("base64"),
            offset,
        }));
        return { items, hasMore: false, end: this.endOffset };
    }
}
