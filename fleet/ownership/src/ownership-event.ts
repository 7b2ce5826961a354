import type { OwnershipMember } from "./ownership-member.js";
import type { PromiseReply } from "./promise-reply.js";
import type { PromiseRequest } from "./promise-request.js";

/** Events that {@link reduceOwnership} handles. Key times and bounds are Unix milliseconds; `atMs` is monotonic. */
export type OwnershipEvent =
    | {
        /** A read of the `ownership` stream; the `value` of each record is unvalidated JSON. */
        readonly type: "log-read";
        readonly atMs: number;
        readonly wallMs: number;
        /** Era of the log at the time of the read, 0 if omitted. */
        readonly era?: number;
        readonly firstOffset: number;
        readonly nextOffset: number;
        readonly records: readonly { readonly offset: number; readonly value: unknown; }[];
    }
    | { readonly type: "log-unavailable"; readonly atMs: number; }
    | {
        readonly type: "append-settled";
        readonly atMs: number;
        readonly recordId: string;
        /**
         * `unknown` when the answer was lost and the append may have taken effect. The bounds of this daemon never
         * depend on this event; it only sets the time of the next attempt.
         */
        readonly result: "appended" | "failed" | "unknown";
    }
    | {
        /** The live daemons, without those that are stopping. They may or may not include this daemon. */
        readonly type: "members-changed";
        readonly atMs: number;
        readonly members: readonly OwnershipMember[];
    }
    | { readonly type: "configuration-changed"; readonly atMs: number; readonly version: number; }
    | {
        readonly type: "promise-requested";
        readonly atMs: number;
        readonly rpcId: string;
        readonly request: PromiseRequest;
    }
    | { readonly type: "promise-answered"; readonly atMs: number; readonly reply: PromiseReply; }
    | { readonly type: "stop-started"; readonly atMs: number; readonly wallMs: number; }
    | { readonly type: "tick"; readonly atMs: number; readonly wallMs: number; readonly random: number; };
