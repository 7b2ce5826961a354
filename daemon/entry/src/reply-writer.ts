import type { ServerResponse } from "node:http";
import { BAD_GATEWAY_REPLY } from "./bad-gateway-reply.js";
import type { CallerExchange } from "./caller-exchange.js";
import type { CallerMemory } from "./caller-memory.js";
import { writeReply } from "./write-reply.js";

interface ReplyWriterOptions {
    readonly memory: CallerMemory;
    /** Closes the connection of a caller whose response gives way to others. */
    readonly onYielding: (exchange: CallerExchange) => void;
    readonly onFault: (step: string, error: unknown) => void;
}

/** Writes responses to callers, and notes which callers read them. */
export class ReplyWriter {
    private readonly opts: ReplyWriterOptions;

    constructor(opts: ReplyWriterOptions) {
        this.opts = opts;
    }

    write(
        exchange: CallerExchange,
        opts: { readonly isLastResponse: boolean; readonly idleTimeoutMs: number; },
    ): void {
        const { memory, onYielding } = this.opts;
        const { response, message, connection, reply = BAD_GATEWAY_REPLY } = exchange;
        if (response.destroyed || message.socket.destroyed) {
            return;
        }
        if (opts.isLastResponse) {
            response.shouldKeepAlive = false;
        }
        const { collector } = reply;
        if (collector !== undefined) {
            memory.markWriting(collector, () => {
                onYielding(exchange);
            });
        }
        if (connection.expectedInput === "reading") {
            connection.limitQuietTime(opts.idleTimeoutMs);
        }
        writeReply(response, reply, {
            onProgress: () => {
                if (collector !== undefined) {
                    memory.noteWritten(collector);
                }
            },
        });
    }

    writeBadGateway(response: ServerResponse): void {
        try {
            writeReply(response, BAD_GATEWAY_REPLY);
        }
        catch (error) {
            this.opts.onFault("answer-request", error);
            response.destroy();
        }
    }
}
