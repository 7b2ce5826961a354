import type { BodyBytes } from "./body-bytes.js";

/** A complete body in several buffers. */
export class SegmentedBody implements BodyBytes {
    readonly segments: readonly Buffer[];
    readonly length: number;

    constructor(segments: readonly Buffer[]) {
        this.segments = segments;
        this.length = segments.reduce((bytes, segment) => bytes + segment.length, 0);
    }

    /** Copies a part of the body. */
    subarray(start: number, end = this.length): Buffer {
        const parts: Buffer[] = [];
        let offset = 0;
        for (const segment of this.segments) {
            if (offset < end && offset + segment.length > start) {
                parts.push(segment.subarray(Math.max(0, start - offset), end - offset));
            }
            offset += segment.length;
        }
        return Buffer.concat(parts);
    }

    toString(): string {
        return Buffer.concat(this.segments).toString();
    }
}
