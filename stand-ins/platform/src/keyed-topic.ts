const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

interface NewestRecords {
    readonly items: readonly { readonly key: string; readonly value: string; readonly offset: number; }[];
    readonly hasMore: boolean;
    readonly end: number;
}

/** Topic that keeps its records in order, and indexes the newest record of each key. An empty value deletes the key. */
export class KeyedTopic {
    private readonly records: Buffer[] = [];
    private readonly newestByKey = new Map<string, { readonly offset: number; readonly value: Buffer; }>();
    private retainedFromOffset = 0;

    get firstOffset(): number {
        return this.retainedFromOffset;
    }

    get endOffset(): number {
        return this.retainedFromOffset + this.records.length;
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

    /** Returns a copy that later changes to this topic do not affect. */
    clone(): KeyedTopic {
        const copy = new KeyedTopic();
        copy.records.push(...this.records);
        for (const [key, newest] of this.newestByKey) {
            copy.newestByKey.set(key, newest);
        }
        copy.retainedFromOffset = this.retainedFromOffset;
        return copy;
    }

    get keys(): readonly string[] {
        return [...this.newestByKey.keys()];
    }

    /** Returns the newest value of a key, or undefined if the topic does not hold the key. */
    get(key: string): string | undefined {
        return this.newestByKey.get(key)?.value.toString("utf8");
    }

    /** Discards all records. The newest record of each key can still be listed. */
    truncate(): void {
        this.retainedFromOffset = this.endOffset;
        this.records.length = 0;
    }

    /** Returns the encoded records from `fromOffset` on, or undefined if the topic does not hold that offset. */
    read(fromOffset: number): Buffer | undefined {
        if (fromOffset < this.firstOffset || fromOffset > this.endOffset) {
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

    /** Lists the newest records of at most `limit` keys, in the order of the keys, from the key after `after` on. */
    listNewest(opts: { readonly after?: string; readonly limit?: number; } = {}): NewestRecords {
        const { after = "", limit = Infinity } = opts;
        const rest = [...this.newestByKey].filter(([key]) => key > after).sort(([a], [b]) => a < b ? -1 : 1);
        const items = rest.slice(0, limit).map(([key, { offset, value }]) => ({
            key,
            value: value.toString("base64"),
            offset,
        }));
        return { items, hasMore: items.length < rest.length, end: this.endOffset };
    }
}
