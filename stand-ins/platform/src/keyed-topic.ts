const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

/** One keyed topic with its records and the newest record of each key. */
export class KeyedTopic {
    private readonly contents: Buffer[] = [];
    private readonly newest = new Map<string, { readonly offset: number; readonly value: Buffer; }>();
    private firstOffset = 0;

    get endOffset(): number {
        return this.firstOffset + this.contents.length;
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
        this.contents.push(content);
        if (value.length === 0) {
            this.newest.delete(key);
        }
        else {
            this.newest.set(key, { offset, value });
        }
        return offset;
    }

    /** Drops all records; the newest of each key can still be listed. */
    forgetHistory(): void {
        this.firstOffset = this.endOffset;
        this.contents.length = 0;
    }

    /** Raw records from an offset on; undefined when they are gone. */
    read(fromOffset: number): Buffer | undefined {
        if (fromOffset < this.firstOffset) {
            return undefined;
        }
        const head = Buffer.alloc(2 * OFFSET_BYTES);
        head.writeBigUInt64BE(BigInt(this.endOffset), 0);
        head.writeBigUInt64BE(BigInt(this.firstOffset), OFFSET_BYTES);
        const records = this.contents.slice(fromOffset - this.firstOffset).map(content => {
            const length = Buffer.alloc(LENGTH_BYTES);
            length.writeUInt32BE(content.length);
            return Buffer.concat([length, content]);
        });
        return Buffer.concat([head, ...records]);
    }

    list(): unknown {
        const items = [...this.newest].map(([key, { offset, value }]) => ({
            key,
            value: value.toString("base64"),
            offset,
        }));
        return { items, hasMore: false, end: this.endOffset };
    }
}
