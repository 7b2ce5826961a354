import type { DaemonId } from "@marigoldstall/core.types";
import type { ShareTerm } from "./share-term.js";

/** Record of the `ownership` stream. Each entry is judged separately at its place in the log. */
export type OwnershipRecord =
    | {
        /** Starts a new term of each share that it names. */
        readonly type: "assign";
        readonly recordId: string;
        readonly writer: DaemonId;
        /**
         * The right by which the writer may end the current term: as its owner, as its guardian, because all key
         * times that it may grant are over, or because the share never had a term.
         */
        readonly basis: "owner" | "guardian" | "expired" | "bootstrap";
        /** The record replaces the whole state, and is valid at this offset only. */
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
