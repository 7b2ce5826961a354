import type { OwnershipMember } from "./ownership-member.js";
import type { PromiseReply } from "./promise-reply.js";
import type { PromiseRequest } from "./promise-request.js";

/** Events of the ownership slice. Key times and bounds are Unix milliseconds; `atMs` is monotonic. */
export type OwnershipEvent =
    | {
        /** A read of the `ownership` stream; `value` of each record is unchecked JSON. */
        readonly type: "log-read";
        readonly atMs: number;
        readonly wallMs: number;
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
         * `unknown` when the answer was lost: the append may have taken effect. The rights of this daemon never
         * depend on this event, only the time of the next attempt does.
         */
        readonly result: "appended" | "failed" | "unknown";
    }
    | {
        /** The live daemons, without those that are stopping. This daemon need not be among them. */
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
