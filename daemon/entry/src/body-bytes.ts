/** The bytes of a complete body, in one buffer or in several. */
export interface BodyBytes {
    readonly length: number;
    subarray(start: number, end?: number): Buffer;
    toString(): string;
}
