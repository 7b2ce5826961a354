import type { ServerResponse } from "node:http";
import type { CallerReply } from "./caller-reply.js";
import { listSegments } from "./list-segments.js";

// Large enough for the fastest links, small enough that a caller that reads shows it.
const SLICE_BYTES = 256 * 1_024;

interface WriteReplyOptions {
    /** Called when the operating system has taken a part of the body. */
    readonly onProgress?: () => void;
}

/** Writes a whole response, the body in slices. Throws if Node.js refuses a part of the head. */
export const writeReply = (response: ServerResponse, reply: CallerReply, opts: WriteReplyOptions = {}): void => {
    if (!reply.isFramed) {
        response.useChunkedEncodingByDefault = false;
    }
    response.writeHead(reply.statusCode, [...reply.headers]);
    const segments = reply.body === undefined ? [] : listSegments(reply.body);
    let index = 0;
    let start = 0;
    // Writes up to a slice at once. The last write ends the response.
    const writeNext = (): void => {
        response.cork();
        for (let writtenBytes = 0; writtenBytes < SLICE_BYTES;) {
            const segment = segments[index];
            if (segment === undefined) {
                response.end();
                return;
            }
            const part = segment.subarray(start, start + SLICE_BYTES - writtenBytes);
            writtenBytes += part.length;
            start += part.length;
            if (start >= segment.length) {
                index += 1;
                start = 0;
            }
            if (index === segments.length) {
                response.end(part);
                return;
            }
            const isSliceEnd = writtenBytes >= SLICE_BYTES;
            response.write(part, isSliceEnd ? onWritten : undefined);
        }
        response.uncork();
    };
    const onWritten = (error: Error | null | undefined): void => {
        // Without an error, the connection may have been closed meanwhile.
        if (!error) {
            opts.onProgress?.();
            if (!response.destroyed) {
                writeNext();
            }
        }
    };
    writeNext();
};
