import type { DaemonId } from "@marigoldstall/core.types";
import type { ShareTerm } from "./share-term.js";

/** Record of the `ownership` stream. Each entry is validated separately against the state at the record's offset. */
export type OwnershipRecord =
    | {
        /** Starts a new term of each share in `entries`. */
        readonly type: "assign";
        readonly recordId: string;
        readonly writer: DaemonId;
        /**
         * Why the writer may start a new term: it is the owner or the guardian of the current term, the cap of the
         * current term has passed, or the share never had a term.
         */
        readonly basis: "owner" | "guardian" | "expired" | "bootstrap";
        /** If set, the record replaces the whole state, and is valid only at this offset. */
        readonly restartAtOffset?: number;
        readonly entries: readonly {
            readonly share: number;
            readonly term: number;
            readonly owner: DaemonId;
            readonly guardian?: DaemonId;
            readonly fromMs: number;
            readonly capMs: number;
        }[];
    }
    | {
        /** Raises the bounds and caps of terms that the writer owns. */
        readonly type: "extend";
        readonly recordId: string;
        readonly writer: DaemonId;
        readonly entries: readonly {
            readonly share: number;
            readonly term: number;
            readonly boundMs: number;
            readonly capMs: number;
        }[];
    }
    | {
        /** State folded up to and including `throughOffset`, for readers that cannot read the earlier records. */
        readonly type: "snapshot";
        readonly recordId: string;
        readonly throughOffset: number;
        readonly terms: readonly ShareTerm[];
    };
