/** A step of the fleet model. */
export type Command =
    | {
        readonly op: "publish" | "resume" | "complete-delayed-write" | "restart" | "snapshot" | "repeat-read";
        readonly index: number;
    }
    | {
        readonly op: "step";
        readonly index: number;
        readonly fault: "none" | "response-lost" | "delayed" | "refused";
        readonly overlap: number;
    }
    | { readonly op: "read"; readonly index: number; readonly limit: number; readonly overlap: number; }
    | { readonly op: "truncate"; readonly count: number; }
    | { readonly op: "gossip"; readonly index: number; readonly from: number; };
