interface ParsedResponse {
    readonly statusCode: number;
    readonly closesConnection: boolean;
    /** First bytes of the body. */
    readonly bodyStart: string;
}

const HEAD_END = "\r\n\r\n";
const LAST_CHUNK = "0\r\n\r\n";
const BODY_START_BYTES = 64;

/** Parses the responses of one connection, without keeping their bodies. */
export class ResponseParser {
    private readonly onResponse: (response: ParsedResponse) => void;
    private head = "";
    private current: ParsedResponse | undefined;
    /** Bytes until the end of the body, undefined if another mark ends it. */
    private remainingBytes: number | undefined;
    private isChunked = false;
    private tail = "";

    constructor(opts: { readonly onResponse: (response: ParsedResponse) => void; }) {
        this.onResponse = opts.onResponse;
    }

    read(chunk: Buffer): void {
        let rest = chunk;
        while (rest.length > 0) {
            rest = this.current === undefined ? this.readHead(rest) : this.readBody(rest);
        }
    }

    /** The connection ended without a reset. This completes a response without a length. */
    end(): void {
        if (this.current !== undefined && this.remainingBytes === undefined && !this.isChunked) {
            this.finish();
        }
    }

    private readHead(bytes: Buffer): Buffer {
        const text = this.head + bytes.toString("latin1");
        const end = text.indexOf(HEAD_END);
        if (end < 0) {
            this.head = text;
            return Buffer.alloc(0);
        }
        const head = text.slice(0, end).toLowerCase();
        const length = /\r\ncontent-length: (\d+)/.exec(head)?.[1];
        this.isChunked = head.includes("\r\ntransfer-encoding: chunked");
        this.remainingBytes = length === undefined ? undefined : Number(length);
        this.tail = "";
        this.current = {
            statusCode: Number(head.split(" ")[1]),
            closesConnection: head.includes("\r\nconnection: close"),
            bodyStart: "",
        };
        const rest = bytes.subarray(end + HEAD_END.length - this.head.length);
        this.head = "";
        if (this.remainingBytes === 0) {
            this.finish();
        }
        return rest;
    }

    private readBody(bytes: Buffer): Buffer {
        const length = Math.min(bytes.length, this.remainingBytes ?? bytes.length);
        const body = bytes.subarray(0, length);
        if (this.current !== undefined && this.current.bodyStart.length < BODY_START_BYTES) {
            const bodyStart = (this.current.bodyStart + body.toString("latin1", 0, BODY_START_BYTES))
                .slice(0, BODY_START_BYTES);
            this.current = { ...this.current, bodyStart };
        }
        if (this.remainingBytes !== undefined) {
            this.remainingBytes -= length;
        }
        this.tail = (this.tail + body.subarray(-LAST_CHUNK.length).toString("latin1")).slice(-LAST_CHUNK.length);
        if (this.remainingBytes === 0 || (this.isChunked && this.tail === LAST_CHUNK)) {
            this.finish();
        }
        return bytes.subarray(length);
    }

    private finish(): void {
        const response = this.current;
        this.current = undefined;
        if (response !== undefined) {
            this.onResponse(response);
        }
    }
}
